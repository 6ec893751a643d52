package org.geraniumreach.node;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Callbacks of requests that wait for adapters, by adapter.
 *
 * <p>Invariant: a callback is removed before it runs. Confined to the event loop.
 */
final class AdapterWaiters {

    private final Map<AdapterName, Set<Runnable>> waiting = new HashMap<>();

    /** Adds a callback, which runs at the next {@link #wake} of the adapter unless it is cancelled. */
    Cancellable add(AdapterName adapter, Runnable callback) {
        waiting.computeIfAbsent(adapter, missing -> new LinkedHashSet<>()).add(callback);
        return () -> {
            Set<Runnable> callbacks = waiting.get(adapter);
            if (callbacks != null && callbacks.remove(callback) && callbacks.isEmpty()) {
                waiting.remove(adapter);
            }
        };
    }

    void wake(AdapterName adapter) {
        Set<Runnable> callbacks = waiting.remove(adapter);
        if (callbacks != null) {
            callbacks.forEach(Runnable::run);
        }
    }
}
