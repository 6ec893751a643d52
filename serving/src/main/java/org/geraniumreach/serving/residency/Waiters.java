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
final class Waiters {

    private final Map<AdapterReference, Line> lines = new LinkedHashMap<>();
    private final Map<AttemptId, AdapterReference> adapters = new HashMap<>();

    private record Waiter(AccountId account, long work, long since) {}

    /** The waiters for one adapter in order of arrival, with their sums. */
    private static final class Line {
        private final Map<AttemptId, Waiter> waiters = new LinkedHashMap<>();
        private final Map<AccountId, Integer> accounts = new HashMap<>();
        private long work;
        private double sinceSum;

        private void add(AttemptId attempt, Waiter waiter) {
            waiters.put(attempt, waiter);
            accounts.merge(waiter.account, 1, Integer::sum);
            work += waiter.work;
            sinceSum += waiter.since;
        }

        private void remove(AttemptId attempt) {
            Waiter gone = waiters.remove(attempt);
            accounts.computeIfPresent(gone.account, (account, count) -> count == 1 ? null : count - 1);
            work -= gone.work;
            sinceSum -= gone.since;
        }

        private WaitingAdapter view(AdapterReference adapter, long now) {
            long oldest = now - waiters.values().iterator().next().since;
            long total = (long) ((double) waiters.size() * now - sinceSum);
            return new WaitingAdapter(adapter, waiters.size(), work, oldest, Math.max(oldest, total), accounts);
        }
    }

    boolean add(AttemptId attempt, AccountId account, AdapterReference adapter, long work, long now) {
        if (adapters.putIfAbsent(attempt, adapter) != null) {
            return false;
        }
        lines.computeIfAbsent(adapter, key -> new Line()).add(attempt, new Waiter(account, work, now));
        return true;
    }

    boolean remove(AttemptId attempt) {
        AdapterReference adapter = adapters.remove(attempt);
        if (adapter == null) {
            return false;
        }
        Line line = lines.get(adapter);
        line.remove(attempt);
        if (line.waiters.isEmpty()) {
            lines.remove(adapter);
        }
        return true;
    }

    List<AttemptId> removeAll(AdapterReference adapter) {
        Line line = lines.remove(adapter);
        if (line == null) {
            return List.of();
        }
        List<AttemptId> attempts = new ArrayList<>(line.waiters.keySet());
        attempts.forEach(adapters::remove);
        return attempts;
    }

    Set<AdapterReference> adapters() {
        return lines.keySet();
    }

    boolean has(AdapterReference adapter) {
        return lines.containsKey(adapter);
    }

    WaitingAdapter view(AdapterReference adapter, long now) {
        return lines.get(adapter).view(adapter, now);
    }
}
