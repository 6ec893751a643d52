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
 * The queue of load requests of one target.
 *
 * <p>Intended for workloads in which more adapters are requested than the weight store can serve. Adapters that can be loaded before
 * their deadlines come first, by earliest deadline; then those that will miss their deadlines, first in, first out; then those that no
 * request waits for.
 *
 * <p>Invariant: a load request that is not renewed for {@link #LOAD_REQUEST_TTL} is dropped. Confined to the event loop.
 */
final class LoadQueue {

    static final Duration LOAD_REQUEST_TTL = Duration.ofMillis(500);

    private final Map<AdapterName, LoadRequest> requests = new HashMap<>();
    private long nextSequence;

    private record LoadRequest(long sequence, long renewedAt, OptionalLong deadline) {

        boolean hasDeadline() {
            return deadline.isPresent();
        }

        boolean meetsDeadline(long loadedAt) {
            return hasDeadline() && deadline.getAsLong() >= loadedAt;
        }
    }

    /**
     * Adds a load request for an adapter, or renews it.
     *
     * @param adapter the adapter
     * @param deadline when the waiting request misses its objective, empty if none waits
     * @param now the current time, in nanoseconds
     */
    void enqueue(AdapterName adapter, OptionalLong deadline, long now) {
        LoadRequest previous = requests.get(adapter);
        if (previous == null) {
            requests.put(adapter, new LoadRequest(nextSequence++, now, deadline));
            return;
        }
        requests.put(
                adapter,
                new LoadRequest(previous.sequence(), now, moreUrgentDeadline(previous.deadline(), deadline, now)));
    }

    /** Returns the earlier of two deadlines, unless it has passed and the other has not. */
    private static OptionalLong moreUrgentDeadline(OptionalLong first, OptionalLong second, long now) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isPresent() ? first : second;
        }
        long sooner = Math.min(first.getAsLong(), second.getAsLong());
        return OptionalLong.of(sooner >= now ? sooner : Math.max(first.getAsLong(), second.getAsLong()));
    }

    /**
     * Returns the queued adapters after removing expired requests.
     *
     * @param now the current time, in nanoseconds
     * @param loadTime the expected time of a load
     * @return the adapters, most urgent first
     */
    List<AdapterName> byUrgency(long now, Duration loadTime) {
        requests.values().removeIf(request -> now - request.renewedAt() > LOAD_REQUEST_TTL.toNanos());
        long loadedAt = now + loadTime.toNanos();
        Comparator<LoadRequest> order = Comparator.comparing((LoadRequest request) -> !request.meetsDeadline(loadedAt))
                .thenComparing(request -> !request.hasDeadline())
                .thenComparingLong(request ->
                        request.meetsDeadline(loadedAt) ? request.deadline().getAsLong() : request.sequence());
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
