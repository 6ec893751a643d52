package org.geraniumreach.serving.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.AdapterReference;

/**
 * Measures each adapter's share of an entry's requests, with exponential decay.
 *
 * <p>Invariant: at most {@code capacity} adapters are tracked, and the least recently used is dropped first; an adapter
 * that is not tracked has a count of zero. Safe for use by several threads: adapters are spread over shards, each under
 * its own lock.
 */
final class DemandMeter {

    private static final int SHARDS = 16;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final double halfLifeNanos;
    private final Shard[] shards = new Shard[SHARDS];
    private DecayedCount total = new DecayedCount(0, 0);

    DemandMeter(long halfLifeNanos, int capacity) {
        this.halfLifeNanos = halfLifeNanos;
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard(Math.max(1, capacity / SHARDS));
        }
    }

    private record DecayedCount(double requests, long updatedNanos) {}

    private static final class Shard extends LinkedHashMap<AdapterReference, DecayedCount> {
        private static final long serialVersionUID = 1L;
        private final int capacity;

        private Shard(int capacity) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterReference, DecayedCount> eldest) {
            return size() > capacity;
        }
    }

    /**
     * Records a request.
     *
     * @param adapter the request's adapter
     * @param now the current time in nanoseconds
     * @return the adapter's share of the requests, including this one, 0 to 1
     */
    double recordRequest(AdapterReference adapter, long now) {
        Shard shard = shards[Math.floorMod(adapter.hashCode(), SHARDS)];
        double requests;
        synchronized (shard) {
            requests = 1 + decayed(shard.get(adapter), now);
            shard.put(adapter, new DecayedCount(requests, now));
        }
        return Math.min(1, requests / recordTotal(now));
    }

    private synchronized double recordTotal(long now) {
        total = new DecayedCount(1 + decayed(total, now), now);
        return total.requests;
    }

    private double decayed(DecayedCount count, long now) {
        return count == null ? 0 : count.requests * Math.pow(0.5, (now - count.updatedNanos) / halfLifeNanos);
    }
}
