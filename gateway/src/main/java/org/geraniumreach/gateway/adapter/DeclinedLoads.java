package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * The targets that have declined to load an adapter lately.
 *
 * <p>Intended for targets whose slots are all in use: who asks for one more adapter learns at once that another target serves it sooner.
 * Invariant: a decline is forgotten after {@link #LIFETIME}, since slots become free with each request that ends. Confined to the event loop.
 */
public final class DeclinedLoads {

    static final Duration LIFETIME = Duration.ofMillis(400);

    private final Map<Key, Long> declinedAt = new LinkedHashMap<>();

    private record Key(TargetId target, AdapterName adapter) {}

    /**
     * Notes that a target has declined.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param now the time
     */
    public void add(TargetId target, AdapterName adapter, long now) {
        declinedAt.values().removeIf(at -> now - at >= LIFETIME.toNanos());
        declinedAt.put(new Key(target, adapter), now);
    }

    /**
     * Queries whether a target has declined lately.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param now the time
     * @return true if it has
     */
    public boolean contains(TargetId target, AdapterName adapter, long now) {
        Long at = declinedAt.get(new Key(target, adapter));
        return at != null && now - at < LIFETIME.toNanos();
    }
}
