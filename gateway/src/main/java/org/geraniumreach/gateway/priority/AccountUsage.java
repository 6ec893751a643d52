package org.geraniumreach.gateway.priority;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AccountId;

/**
 * What accounts have used recently, relative to their weights.
 *
 * <p>Intended for accounts whose demands differ by a factor of ten, of which some send nothing for minutes. Invariant: accounts that have
 * used nothing for {@link #RETENTION_HALF_LIVES} half-lives are forgotten. Confined to the event loop.
 */
public final class AccountUsage {

    /** After ten half-lives a thousandth of the usage is left. */
    private static final int RETENTION_HALF_LIVES = 10;

    private final Map<Optional<AccountId>, Entry> entries = new HashMap<>();
    private long nextRemovalAt = Long.MIN_VALUE;

    /** The usage of an account, and its weight, which is not above 0 if it is unknown. */
    private record Entry(DecayedSum sum, double weight) {}

    /**
     * Adds usage of an account.
     *
     * @param priority the priority of the request, not null
     * @param units the units used, not negative
     * @param now the current time, in nanoseconds
     */
    public void add(RequestPriority priority, double units, long now) {
        removeForgotten(now);
        Entry previous = entries.get(priority.account());
        DecayedSum sum = previous == null ? new DecayedSum(now) : previous.sum();
        sum.add(units, now);
        entries.put(priority.account(), new Entry(sum, priority.accountWeight()));
    }

    private void removeForgotten(long now) {
        if (now < nextRemovalAt) {
            return;
        }
        nextRemovalAt = now + DecayedSum.HALF_LIFE.toNanos();
        long retention = RETENTION_HALF_LIVES * DecayedSum.HALF_LIFE.toNanos();
        entries.values().removeIf(entry -> now - entry.sum().updatedAt() > retention);
    }

    /**
     * Computes the decayed usage of an account over its weight.
     *
     * @param priority the priority of a request of the account, not null
     * @param now the current time, in nanoseconds
     * @return the usage, 0 if the account has used nothing
     */
    public double relativeUsage(RequestPriority priority, long now) {
        Entry entry = entries.get(priority.account());
        return entry == null ? 0 : entry.sum().at(now) / weight(priority);
    }

    /**
     * Obtains the weight of an account, the mean of the other accounts' weights if its own is not above 0 or not finite.
     *
     * @param priority the priority of a request of the account, not null
     * @return the weight, above 0
     */
    public double weight(RequestPriority priority) {
        if (isValid(priority.accountWeight())) {
            return priority.accountWeight();
        }
        return entries.values().stream()
                .mapToDouble(Entry::weight)
                .filter(AccountUsage::isValid)
                .average()
                .orElse(1);
    }

    private static boolean isValid(double weight) {
        return weight > 0 && Double.isFinite(weight);
    }
}
