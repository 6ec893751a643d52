package org.geraniumreach.node;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Who waits for which adapter.
 *
 * <p>Invariant: who was woken waits no longer. Confined to the event loop.
 */
final class AdapterWaiters {

    private final Map<AdapterName, Set<Runnable>> waiting = new HashMap<>();

    Cancellable add(AdapterName adapter, Runnable changed) {
        waiting.computeIfAbsent(adapter, missing -> new LinkedHashSet<>()).add(changed);
        return () -> {
            Set<Runnable> others = waiting.get(adapter);
            if (others != null && others.remove(changed) && others.isEmpty()) {
                waiting.remove(adapter);
            }
        };
    }

    void wake(AdapterName adapter) {
        Set<Runnable> woken = waiting.remove(adapter);
        if (woken != null) {
            woken.forEach(Runnable::run);
        }
    }
}
