package org.geraniumreach.serving.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * The requests that were taken in and hold no pin yet, by adapter.
 *
 * <p>Invariant: an attempt waits for one adapter at most. Confined to the lock of its residency.
 */
final class Waiters {

    private final Map<AdapterReference, Map<AttemptId, Waiter>> byAdapter = new LinkedHashMap<>();
    private final Map<AttemptId, AdapterReference> adapters = new HashMap<>();

    private record Waiter(long work, long since) {}

    boolean add(AttemptId attempt, AdapterReference adapter, long work, long now) {
        if (adapters.putIfAbsent(attempt, adapter) != null) {
            return false;
        }
        byAdapter.computeIfAbsent(adapter, key -> new LinkedHashMap<>()).put(attempt, new Waiter(work, now));
        return true;
    }

    boolean remove(AttemptId attempt) {
        AdapterReference adapter = adapters.remove(attempt);
        if (adapter == null) {
            return false;
        }
        Map<AttemptId, Waiter> waiters = byAdapter.get(adapter);
        waiters.remove(attempt);
        if (waiters.isEmpty()) {
            byAdapter.remove(adapter);
        }
        return true;
    }

    List<AttemptId> removeAll(AdapterReference adapter) {
        Map<AttemptId, Waiter> waiters = byAdapter.remove(adapter);
        if (waiters == null) {
            return List.of();
        }
        List<AttemptId> attempts = new ArrayList<>(waiters.keySet());
        attempts.forEach(adapters::remove);
        return attempts;
    }

    Set<AdapterReference> adapters() {
        return byAdapter.keySet();
    }

    boolean has(AdapterReference adapter) {
        return byAdapter.containsKey(adapter);
    }

    WaitingAdapter view(AdapterReference adapter, long now) {
        long work = 0;
        long total = 0;
        long oldest = 0;
        Map<AttemptId, Waiter> waiters = byAdapter.get(adapter);
        for (Waiter waiter : waiters.values()) {
            work += waiter.work;
            total += now - waiter.since;
            oldest = Math.max(oldest, now - waiter.since);
        }
        return new WaitingAdapter(adapter, waiters.size(), work, oldest, total);
    }
}
