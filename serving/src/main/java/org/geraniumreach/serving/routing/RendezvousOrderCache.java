package org.geraniumreach.serving.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.AdapterReference;

/**
 * The first targets of each adapter's rendezvous order, remembered for the adapters lately asked for.
 *
 * <p>Invariants: an order that is handed out was worked out from the members given; at most {@code capacity} orders are
 * kept, the longest unused go first. Safe for use by several threads: adapters are spread over shards, each under its own
 * lock.
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
     * An adapter's order.
     *
     * @param generation the generation of the members that it was worked out from
     * @param keyHash the adapter's hash
     * @param targets the first targets, best first; shared, and not to be changed
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
     * Gets an adapter's order.
     *
     * @param adapter the adapter
     * @param members the members
     * @return the order
     */
    Order get(AdapterReference adapter, FleetView.Members members) {
        Shard shard = shards[Math.floorMod(adapter.hashCode(), SHARDS)];
        synchronized (shard) {
            Order known = shard.get(adapter);
            if (known != null && known.generation == members.generation()) {
                return known;
            }
            int key = known != null ? known.keyHash : Rendezvous.hash(adapter);
            Order order = new Order(members.generation(), key, Rendezvous.topRanked(key, members.targets(), length));
            shard.put(adapter, order);
            return order;
        }
    }
}
