package org.geraniumreach.serving.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.AdapterReference;

/**
 * A cache of the first targets in each adapter's rendezvous order.
 *
 * <p>Invariants: a returned order was computed from the given members; at most {@code capacity} orders are cached, and
 * the least recently used is dropped first. Safe for use by several threads: adapters are spread over shards, each
 * under its own lock.
 */
final class RendezvousOrderCache {

    private static final int SHARDS = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int length;
    private final Shard[] shards = new Shard[SHARDS];

    RendezvousOrderCache(int length, int capacity) {
        this.length = length;
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard(Math.max(1, capacity / SHARDS));
        }
    }

    /**
     * The first targets in an adapter's rendezvous order.
     *
     * @param generation the generation of the members from which it was computed
     * @param keyHash the adapter's hash
     * @param targets the targets, highest score first; shared, must not be modified
     */
    record Order(long generation, int keyHash, TrackedTarget[] targets) {}

    private static final class Shard extends LinkedHashMap<AdapterReference, Order> {
        private static final long serialVersionUID = 1L;
        private static final int INITIAL_CAPACITY = 16;
        private final int capacity;

        private Shard(int capacity) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterReference, Order> eldest) {
            return size() > capacity;
        }
    }

    /**
     * Gets an adapter's order, computing it if it is absent or was computed from other members.
     *
     * @param adapter the adapter
     * @param members the members to rank
     * @return the order
     */
    Order get(AdapterReference adapter, FleetView.Members members) {
        Shard shard = shards[Math.floorMod(adapter.hashCode(), SHARDS)];
        synchronized (shard) {
            Order cached = shard.get(adapter);
            if (cached != null && cached.generation == members.generation()) {
                return cached;
            }
            int keyHash = cached != null ? cached.keyHash : Rendezvous.hash(adapter);
            Order order =
                    new Order(members.generation(), keyHash, Rendezvous.topRanked(keyHash, members.targets(), length));
            shard.put(adapter, order);
            return order;
        }
    }
}
