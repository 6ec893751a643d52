package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * Remembers which targets have recently declined to load an adapter.
 *
 * <p>Intended for targets whose slots are all in use: a request for another adapter is placed on a target that can serve it sooner.
 * Invariant: a decline expires after {@link #LIFETIME}, since slots become free as requests end. Confined to the event loop.
 */
public final class DeclinedLoads {

    static final Duration LIFETIME = Duration.ofMillis(400);

    private final Map<Key, Long> declinedAt = new LinkedHashMap<>();

    private record Key(TargetId target, AdapterName adapter) {}

    /**
     * Records that a target has declined to load an adapter.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param now the current time, in nanoseconds
     */
    public void add(TargetId target, AdapterName adapter, long now) {
        declinedAt.values().removeIf(at -> now - at >= LIFETIME.toNanos());
        declinedAt.put(new Key(target, adapter), now);
    }

    /**
     * Returns whether a target has declined to load an adapter within {@link #LIFETIME}.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param now the current time, in nanoseconds
     * @return true if it has
     */
    public boolean contains(TargetId target, AdapterName adapter, long now) {
        Long at = declinedAt.get(new Key(target, adapter));
        return at != null && now - at < LIFETIME.toNanos();
    }
}
