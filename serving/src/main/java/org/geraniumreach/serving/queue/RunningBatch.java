package org.geraniumreach.serving.queue;

import java.util.HashMap;
import java.util.Map;

import org.geraniumreach.model.AdapterReference;

/** Counts a target's running requests by adapter; guarded by the lock of its {@link RequestQueue}. */
final class RunningBatch {

    private final Map<AdapterReference, Integer> running = new HashMap<>();

    void add(AdapterReference adapter) {
        running.merge(adapter, 1, Integer::sum);
    }

    void remove(AdapterReference adapter) {
        running.computeIfPresent(adapter, (key, count) -> count == 1 ? null : count - 1);
    }

    int count(AdapterReference adapter) {
        return running.getOrDefault(adapter, 0);
    }

    int adapterCount() {
        return running.size();
    }
}
