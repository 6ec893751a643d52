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
 * The requests that were taken in and hold no pin yet, by adapter.
 *
 * <p>Invariant: an attempt waits for one adapter at most. Confined to the lock of its residency.
 */
final class WaitingRequests {

    private final Map<AdapterReference, AdapterQueue> queues = new LinkedHashMap<>();
    private final Map<AttemptId, AdapterReference> adapterByAttempt = new HashMap<>();

    private record Waiter(AccountId account, long tokens, long sinceNanos) {}

    /** The waiters for one adapter in order of arrival, with their sums. */
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
            Waiter gone = waiters.remove(attempt);
            waitersByAccount.computeIfPresent(gone.account, (account, count) -> count == 1 ? null : count - 1);
            tokens -= gone.tokens;
            sinceNanosSum -= gone.sinceNanos;
        }

        private AwaitedAdapter summarize(AdapterReference adapter, long now) {
            long oldest = now - waiters.values().iterator().next().sinceNanos;
            long total = (long) ((double) waiters.size() * now - sinceNanosSum);
            return new AwaitedAdapter(adapter, waiters.size(), tokens, oldest, Math.max(oldest, total), waitersByAccount);
        }
    }

    boolean add(AttemptId attempt, AccountId account, AdapterReference adapter, long work, long now) {
        if (adapterByAttempt.putIfAbsent(attempt, adapter) != null) {
            return false;
        }
        queues.computeIfAbsent(adapter, key -> new AdapterQueue()).add(attempt, new Waiter(account, work, now));
        return true;
    }

    boolean remove(AttemptId attempt) {
        AdapterReference adapter = adapterByAttempt.remove(attempt);
        if (adapter == null) {
            return false;
        }
        AdapterQueue line = queues.get(adapter);
        line.remove(attempt);
        if (line.waiters.isEmpty()) {
            queues.remove(adapter);
        }
        return true;
    }

    List<AttemptId> removeAll(AdapterReference adapter) {
        AdapterQueue line = queues.remove(adapter);
        if (line == null) {
            return List.of();
        }
        List<AttemptId> attempts = new ArrayList<>(line.waiters.keySet());
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
