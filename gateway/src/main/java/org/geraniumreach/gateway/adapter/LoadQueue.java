package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.gateway.priority.PriorityOrder;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The queue of load requests of one target.
 *
 * <p>Intended for workloads in which more adapters are requested than the weight store can serve. Adapters that can be loaded before
 * their deadlines come first, by earliest deadline; then those that will miss their deadlines, first in, first out; then those that no
 * request waits for.
 *
 * <p>If the request that waits for an adapter has a priority, the adapters that requests wait for are ordered by {@link PriorityOrder} instead,
 * each load counting as one unit.
 *
 * <p>Invariant: a load request that is not renewed for {@link #LOAD_REQUEST_TTL} is dropped. Confined to the event loop.
 */
final class LoadQueue {

    static final Duration LOAD_REQUEST_TTL = Duration.ofMillis(500);

    private final Map<AdapterName, LoadRequest> requests = new HashMap<>();
    private long nextSequence;

    /** Requests without priority beside others that have one, for example of entries of an older version. */
    private static final RequestPriority DEFAULT_PRIORITY =
            new RequestPriority(RequestPriority.LEAST_URGENT, Optional.empty(), 0);

    /** One load is kept for less urgent requests. */
    private final PriorityOrder priorityOrder = new PriorityOrder(1);

    private record LoadRequest(
            long sequence, long renewedAt, OptionalLong deadline, Optional<RequestPriority> priority, boolean started) {

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
        enqueue(adapter, deadline, Optional.empty(), now);
    }

    /**
     * Adds a load request for an adapter, or renews it.
     *
     * @param adapter the adapter
     * @param deadline when the waiting request misses its objective, empty if none waits
     * @param priority the priority of the waiting request, empty if it has none
     * @param now the current time, in nanoseconds
     */
    void enqueue(AdapterName adapter, OptionalLong deadline, Optional<RequestPriority> priority, long now) {
        LoadRequest previous = requests.get(adapter);
        if (previous == null) {
            requests.put(adapter, new LoadRequest(nextSequence++, now, deadline, priority, false));
            return;
        }
        requests.put(
                adapter,
                new LoadRequest(
                        previous.sequence(),
                        now,
                        moreUrgentDeadline(previous.deadline(), deadline, now),
                        moreUrgentPriority(previous.priority(), priority),
                        previous.started()));
    }

    private static Optional<RequestPriority> moreUrgentPriority(
            Optional<RequestPriority> first, Optional<RequestPriority> second) {
        return Stream.of(first, second)
                .flatMap(Optional::stream)
                .min(Comparator.comparingInt(RequestPriority::urgency));
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
        return hasPriorities() ? byPriority(adapters, now, loadedAt) : adapters;
    }

    private boolean hasPriorities() {
        return requests.values().stream().anyMatch(request -> request.priority().isPresent());
    }

    private List<AdapterName> byPriority(List<AdapterName> adapters, long now, long loadedAt) {
        List<AdapterName> ordered = new ArrayList<>();
        adapters.stream().filter(adapter -> requests.get(adapter).started()).forEach(ordered::add);
        PriorityOrder.Selection<AdapterName> selection = priorityOrder.select(
                adapters.stream()
                        .filter(this::isWaitedFor)
                        .map(adapter -> candidate(adapter, loadedAt))
                        .toList(),
                now);
        for (var next = selection.next(); next.isPresent(); next = selection.next()) {
            ordered.add(next.get().item());
            selection.start(next.get());
        }
        adapters.stream()
                .filter(adapter -> !requests.get(adapter).started() && !isWaitedFor(adapter))
                .forEach(ordered::add);
        return ordered;
    }

    private boolean isWaitedFor(AdapterName adapter) {
        LoadRequest request = requests.get(adapter);
        return request.hasDeadline() && !request.started();
    }

    private PriorityOrder.Candidate<AdapterName> candidate(AdapterName adapter, long loadedAt) {
        LoadRequest request = requests.get(adapter);
        return new PriorityOrder.Candidate<>(
                adapter,
                request.priority().orElse(DEFAULT_PRIORITY),
                request.meetsDeadline(loadedAt),
                request.deadline().getAsLong(),
                1);
    }

    /**
     * Counts the load of a queued adapter, once, as usage of the account that waits for it.
     *
     * @param adapter the adapter
     * @param now the current time, in nanoseconds
     */
    void recordStart(AdapterName adapter, long now) {
        LoadRequest request = requests.get(adapter);
        if (request == null || !isWaitedFor(adapter) || !hasPriorities()) {
            return;
        }
        int mostUrgent = requests.keySet().stream()
                .filter(this::isWaitedFor)
                .map(waiting -> requests.get(waiting).priority().orElse(DEFAULT_PRIORITY))
                .mapToInt(RequestPriority::urgency)
                .min()
                .orElseThrow();
        priorityOrder.recordStart(candidate(adapter, now), mostUrgent, now);
        requests.put(
                adapter,
                new LoadRequest(request.sequence(), request.renewedAt(), request.deadline(), request.priority(), true));
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
