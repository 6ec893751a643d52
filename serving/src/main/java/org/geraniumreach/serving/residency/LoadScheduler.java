package org.geraniumreach.serving.residency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.AccountId;

/**
 * Chooses what to load next.
 *
 * <p>Contract: answers one of the adapters given if there are any. Confined to the lock of its residency.
 */
interface LoadScheduler {

    Optional<AwaitedAdapter> next(List<AwaitedAdapter> wanted);

    /**
     * Tells that a load begins.
     *
     * @param adapter what is loaded
     */
    default void onStarted(AwaitedAdapter adapter) {}

    static LoadScheduler mostUrgentFirst(Comparator<AwaitedAdapter> urgency) {
        return wanted -> wanted.stream().max(urgency);
    }

    static LoadScheduler fair() {
        return new Fair();
    }

    /**
     * Shares loads fairly over the client accounts that wait for some.
     *
     * <p>Were the adapter with the most waiters loaded first, an account that sends several times its rate would have the
     * store load for it, and the others' cold adapters would wait until their callers give up. Each account has a virtual
     * time instead, which advances by its part in each load; the one that is least far on chooses next, and an account
     * that wanted nothing for a while saves nothing up.
     */
    final class Fair implements LoadScheduler {

        private final Map<AccountId, Double> virtualTimes = new HashMap<>();
        private Set<AccountId> active = new HashSet<>();
        private double virtualNow;

        @Override
        public Optional<AwaitedAdapter> next(List<AwaitedAdapter> wanted) {
            activate(wanted);
            Optional<AccountId> least = active.stream()
                    .min(Comparator.<AccountId>comparingDouble(virtualTimes::get)
                            .thenComparing(Comparator.naturalOrder()));
            least.ifPresent(account -> virtualNow = Math.max(virtualNow, virtualTimes.get(account)));
            return least.flatMap(account -> wanted.stream()
                    .filter(adapter -> adapter.waitersByAccount().containsKey(account))
                    .max(Comparator.comparingLong(AwaitedAdapter::totalWaitNanos)));
        }

        private void activate(List<AwaitedAdapter> wanted) {
            Set<AccountId> now = new HashSet<>();
            wanted.forEach(adapter -> now.addAll(adapter.waitersByAccount().keySet()));
            for (AccountId account : now) {
                if (!active.contains(account)) {
                    virtualTimes.merge(account, virtualNow, Math::max);
                }
            }
            virtualTimes.entrySet().removeIf(entry -> !now.contains(entry.getKey()) && entry.getValue() <= virtualNow);
            active = now;
        }

        @Override
        public void onStarted(AwaitedAdapter adapter) {
            adapter.waitersByAccount().forEach((account, waiters) -> {
                double part = (double) waiters / adapter.waiters();
                virtualTimes.computeIfPresent(account, (key, time) -> time + part);
            });
        }
    }
}
