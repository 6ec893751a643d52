package org.geraniumreach.serving.residency;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.AdapterReference;

/**
 * Use counts of resident and absent adapters, with exponential decay.
 *
 * <p>Invariant: at most {@code capacity} adapters are tracked, and the least recently used is dropped first. Guarded by
 * the lock of its {@link Residency}.
 */
final class UseCounts {

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final double halfLifeNanos;
    private final Map<AdapterReference, DecayedCount> counts;

    UseCounts(long halfLifeNanos, int capacity) {
        this.halfLifeNanos = halfLifeNanos;
        this.counts = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<AdapterReference, DecayedCount> eldest) {
                return size() > capacity;
            }
        };
    }

    private record DecayedCount(double uses, long updatedNanos) {}

    void recordUse(AdapterReference adapter, long now) {
        counts.put(adapter, new DecayedCount(1 + uses(adapter, now), now));
    }

    double uses(AdapterReference adapter, long now) {
        DecayedCount count = counts.get(adapter);
        return count == null ? 0 : count.uses * Math.pow(0.5, (now - count.updatedNanos) / halfLifeNanos);
    }
}
