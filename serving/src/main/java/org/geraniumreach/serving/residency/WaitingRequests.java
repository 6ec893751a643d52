package org.geraniumreach.serving.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * The registered requests without a pin, by adapter.
 *
 * <p>Invariant: an attempt waits for at most one adapter. Guarded by the lock of its {@link Residency}.
 */
final class WaitingRequests {

    private final Map<AdapterReference, AdapterQueue> queues = new LinkedHashMap<>();
    private final Map<AttemptId, AdapterReference> adapterByAttempt = new HashMap<>();

    private record Waiter(AccountId account, long tokens, long sinceNanos) {}

    /** The requests that wait for one adapter, in order of arrival, with their totals. */
    private static final class AdapterQueue {
        private final Map<AttemptId, Waiter> waiters = new LinkedHashMap<>();
        private final Map<AccountId, Integer> waitersByAccount = new HashMap<>();
        private long tokens;
        private double sinceNanosSum;

        private void add(AttemptId attempt, Waiter waiter) {
            waiters.put(attempt, waiter);
            waitersByAccount.merge(waiter.account, 1, Integer::sum);
            tokens += waiter.tokens;
            sinceNanosSum += waiter.sinceNanos;
        }

        private void remove(AttemptId attempt) {
            Waiter removed = waiters.remove(attempt);
            waitersByAccount.computeIfPresent(removed.account, (account, count) -> count == 1 ? null : count - 1);
            tokens -= removed.tokens;
            sinceNanosSum -= removed.sinceNanos;
        }

        private AwaitedAdapter summarize(AdapterReference adapter, long now) {
            long longestWait = now - waiters.values().iterator().next().sinceNanos;
            long totalWait = (long) ((double) waiters.size() * now - sinceNanosSum);
            return new AwaitedAdapter(
                    adapter, waiters.size(), tokens, longestWait, Math.max(longestWait, totalWait), waitersByAccount);
        }
    }

    boolean add(AttemptId attempt, AccountId account, AdapterReference adapter, long tokens, long now) {
        if (adapterByAttempt.putIfAbsent(attempt, adapter) != null) {
            return false;
        }
        queues.computeIfAbsent(adapter, key -> new AdapterQueue()).add(attempt, new Waiter(account, tokens, now));
        return true;
    }

    boolean remove(AttemptId attempt) {
        AdapterReference adapter = adapterByAttempt.remove(attempt);
        if (adapter == null) {
            return false;
        }
        AdapterQueue queue = queues.get(adapter);
        queue.remove(attempt);
        if (queue.waiters.isEmpty()) {
            queues.remove(adapter);
        }
        return true;
    }

    List<AttemptId> removeAll(AdapterReference adapter) {
        AdapterQueue queue = queues.remove(adapter);
        if (queue == null) {
            return List.of();
        }
        List<AttemptId> attempts = new ArrayList<>(queue.waiters.keySet());
        attempts.forEach(adapterByAttempt::remove);
        return attempts;
    }

    Set<AdapterReference> adapters() {
        return queues.keySet();
    }

    boolean hasAny(AdapterReference adapter) {
        return queues.containsKey(adapter);
    }

    AwaitedAdapter summarize(AdapterReference adapter, long now) {
        return queues.get(adapter).summarize(adapter, now);
    }
}
