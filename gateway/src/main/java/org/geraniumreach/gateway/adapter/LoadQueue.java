package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The load requests of one target, in the order in which they are served.
 *
 * <p>Intended for workloads in which more adapters are asked for than the weight store serves. Adapters whose requests can still meet
 * their objectives come first, by least time left; then those whose requests are late, first in, first out; then those that no request
 * waits for.
 *
 * <p>Invariant: a load request that is not renewed for {@link #LOAD_REQUEST_TTL} is dropped. Confined to the event loop.
 */
final class LoadQueue {

    /** Load requests that are not renewed within this time are dropped. */
    static final Duration LOAD_REQUEST_TTL = Duration.ofMillis(500);

    private final Map<AdapterName, LoadRequest> requests = new HashMap<>();
    private long nextSequence;

    private record LoadRequest(long sequence, long renewedAt, OptionalLong deadline) {

        boolean hasDeadline() {
            return deadline.isPresent();
        }

        boolean meetsDeadline(long loaded) {
            return hasDeadline() && deadline.getAsLong() >= loaded;
        }
    }

    /**
     * Asks for an adapter, or renews the request for it.
     *
     * @param adapter the adapter
     * @param lateAt when the request that waits for it misses its objective, empty if none waits
     * @param now the time
     */
    void enqueue(AdapterName adapter, OptionalLong lateAt, long now) {
        LoadRequest before = requests.get(adapter);
        if (before == null) {
            requests.put(adapter, new LoadRequest(nextSequence++, now, lateAt));
            return;
        }
        requests.put(
                adapter, new LoadRequest(before.sequence(), now, moreUrgentDeadline(before.deadline(), lateAt, now)));
    }

    /** Of several requests the next to be late counts, among those that are not late yet. */
    private static OptionalLong moreUrgentDeadline(OptionalLong one, OptionalLong other, long now) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        long sooner = Math.min(one.getAsLong(), other.getAsLong());
        return OptionalLong.of(sooner >= now ? sooner : Math.max(one.getAsLong(), other.getAsLong()));
    }

    /**
     * Gets what is wanted.
     *
     * @param now the time
     * @param load how long a load takes
     * @return the adapters, the next to be loaded first
     */
    List<AdapterName> byUrgency(long now, Duration load) {
        requests.values().removeIf(request -> now - request.renewedAt() > LOAD_REQUEST_TTL.toNanos());
        long loaded = now + load.toNanos();
        Comparator<LoadRequest> order = Comparator.comparing((LoadRequest request) -> !request.meetsDeadline(loaded))
                .thenComparing(request -> !request.hasDeadline())
                .thenComparingLong(request ->
                        request.meetsDeadline(loaded) ? request.deadline().getAsLong() : request.sequence());
        List<AdapterName> adapters = new ArrayList<>(requests.keySet());
        adapters.sort(Comparator.comparing(requests::get, order));
        return adapters;
    }

    void remove(AdapterName adapter) {
        requests.remove(adapter);
    }

    boolean contains(AdapterName adapter) {
        return requests.containsKey(adapter);
    }

    boolean isSubsetOf(Set<AdapterName> adapters) {
        return adapters.containsAll(requests.keySet());
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }
}
