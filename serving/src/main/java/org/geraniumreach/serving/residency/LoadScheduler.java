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
 * Chooses the next adapter to load.
 *
 * <p>Contract: returns one of the given adapters if there are any. Guarded by the lock of its {@link Residency}.
 */
interface LoadScheduler {

    Optional<AwaitedAdapter> next(List<AwaitedAdapter> candidates);

    /**
     * Called when a load starts.
     *
     * @param adapter the adapter being loaded
     */
    default void onStarted(AwaitedAdapter adapter) {}

    static LoadScheduler mostUrgentFirst(Comparator<AwaitedAdapter> urgency) {
        return candidates -> candidates.stream().max(urgency);
    }

    static LoadScheduler fair() {
        return new Fair();
    }

    /**
     * Fair queueing of loads over the client accounts that wait for them.
     *
     * <p>If the adapter with the most waiters were always loaded first, an account that sends several times its rate
     * would occupy the weight store, and the cold adapters of other accounts would wait until their callers give up.
     * Instead each account has a virtual time, which advances by the account's share of each load. The account with the
     * lowest virtual time is served next, and an idle account accumulates no credit.
     */
    final class Fair implements LoadScheduler {

        private final Map<AccountId, Double> virtualTimes = new HashMap<>();
        private Set<AccountId> active = new HashSet<>();
        private double virtualNow;

        @Override
        public Optional<AwaitedAdapter> next(List<AwaitedAdapter> candidates) {
            activate(candidates);
            Optional<AccountId> lowest = active.stream()
                    .min(Comparator.<AccountId>comparingDouble(virtualTimes::get)
                            .thenComparing(Comparator.naturalOrder()));
            lowest.ifPresent(account -> virtualNow = Math.max(virtualNow, virtualTimes.get(account)));
            return lowest.flatMap(account -> candidates.stream()
                    .filter(adapter -> adapter.waitersByAccount().containsKey(account))
                    .max(Comparator.comparingLong(AwaitedAdapter::totalWaitNanos)));
        }

        private void activate(List<AwaitedAdapter> candidates) {
            Set<AccountId> waitingAccounts = new HashSet<>();
            candidates.forEach(
                    adapter -> waitingAccounts.addAll(adapter.waitersByAccount().keySet()));
            for (AccountId account : waitingAccounts) {
                if (!active.contains(account)) {
                    virtualTimes.merge(account, virtualNow, Math::max);
                }
            }
            virtualTimes
                    .entrySet()
                    .removeIf(entry -> !waitingAccounts.contains(entry.getKey()) && entry.getValue() <= virtualNow);
            active = waitingAccounts;
        }

        @Override
        public void onStarted(AwaitedAdapter adapter) {
            adapter.waitersByAccount().forEach((account, waiters) -> {
                double share = (double) waiters / adapter.waiters();
                virtualTimes.computeIfPresent(account, (key, time) -> time + share);
            });
        }
    }
}
