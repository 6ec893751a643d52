package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Tracks the adapter slots of one incarnation of a target for the entry that owns it, and chooses the calls to the target.
 *
 * <p>Invariants: the adapters that are loaded, loading or still unloading never exceed the slots, since an order beyond them
 * crashes the target; at most {@link #MAX_CONCURRENT_LOADS} are loading; one call is in progress at a time. Each order therefore
 * carries the exact number of orders accepted before it, and the target ignores an order that arrives after that number has
 * changed. An order whose answer was lost is sent again unchanged before any other: the target executes the copy that arrives
 * first and ignores the others. After {@link #MAX_SEND_ATTEMPTS} attempts or a conflict, no order is sent until a report has shown
 * the state of the target. Confined to the event loop.
 */
public final class AdapterSlots {

    /** A target refuses to load more adapters than this at the same time. */
    static final int MAX_CONCURRENT_LOADS = 4;

    /**
     * Fraction of the base fetch time after which a fetch is first polled. Recent fetch times are not used because the polls
     * measure them: one slow fetch would delay the polls of the next ones.
     */
    private static final double FIRST_POLL_FRACTION = 0.92;

    private static final Duration CACHED_FIRST_POLL_DELAY = Duration.ofMillis(24);

    /** A poll repeats the order; it costs a thirtieth of a report and delays no other order. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(25);

    /** A target that defers an order until running requests end refuses all other orders meanwhile. */
    private static final Duration DEFERRED_ORDER_POLL_INTERVAL = Duration.ofMillis(40);

    /** Attempts to send one order; a report is read if none of them is answered. */
    private static final int MAX_SEND_ATTEMPTS = 3;

    private static final Duration MODEL_POLL_INTERVAL = Duration.ofMillis(200);

    /** A report is up to 0.2 s old, so one that is read sooner may not include the last order. */
    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    /** Longer than {@link UsageReports#CHECK_INTERVAL}, so that every request started earlier has been reported. */
    private static final Duration MIN_IDLE_BEFORE_EVICTION = Duration.ofMillis(450);

    /** Unloaded adapters assumed to be in the target's own memory; with a higher number some fetches would not be counted. */
    private static final int MAX_CACHED_ADAPTERS = 100;

    private static final Duration REFUSAL_DELAY = Duration.ofMillis(500);

    private final int slots;
    private final String model;
    private final Function<AdapterName, Long> newestVersion;
    private final FetchWindow fetchWindow;
    private final Listener listener;
    private final Map<AdapterName, Long> fetchStartedAt = new HashMap<>();
    private final Map<AdapterName, Long> resident = new HashMap<>();
    private final Map<AdapterName, Long> nextPollAt = new HashMap<>();

    /** The versions that were the newest when the loads in progress were ordered; a target may have fetched no newer ones. */
    private final Map<AdapterName, Long> orderedVersions = new HashMap<>();

    private final Set<AdapterName> unloading = new HashSet<>();
    private Optional<AdapterName> deferredAdapter = Optional.empty();
    private final LoadQueue loadQueue = new LoadQueue();
    private final AdapterUseFrequency frequency = new AdapterUseFrequency();
    private final RunningAdapters running = new RunningAdapters();
    private final Deque<AdapterName> cachedAtTarget = new ArrayDeque<>();
    private boolean modelLoaded;
    private boolean modelLoading;
    private OptionalLong acceptedOrders = OptionalLong.empty();
    private long earliestCallAt;
    private boolean callInProgress;
    private Optional<Call.SendOrder> unansweredOrder = Optional.empty();
    private int sendAttempts;

    /**
     * Whether the target may still defer an order from before the last report, which the report does not show. The target accepts
     * a repetition of that order without counting it. Counted here, a later order would carry a number that is too high; if lost
     * and executed once the number is reached, it would load an adapter beyond the slots. So the count is read again after such an
     * order, until the target has accepted a load, which confirms the number.
     */
    private boolean orderCountUncertain = true;

    /** Receives changes of the adapters that a target holds. */
    public interface Listener {

        /**
         * Called when an adapter is loaded.
         *
         * @param adapter the adapter, not null
         * @param version the loaded version
         */
        void onAdapterLoaded(AdapterName adapter, long version);

        /**
         * Called when an adapter is unloaded or starts to be unloaded, so that it cannot serve new requests.
         *
         * @param adapter the adapter, not null
         */
        void onAdapterUnavailable(AdapterName adapter);

        /** Called when the base model is loaded. */
        void onModelLoaded();
    }

    /** A call to the target. */
    public sealed interface Call {

        /**
         * Sends an order.
         *
         * @param operation the operation
         * @param adapter the adapter, empty for the base model
         * @param expectedOrders the number of orders accepted before this one
         */
        record SendOrder(Order.Operation operation, Optional<AdapterName> adapter, long expectedOrders)
                implements Call {}

        /** Reads the target's report. */
        record ReadReport() implements Call {}
    }

    /**
     * Creates the slots of a target whose state is unknown.
     *
     * @param slots the number of slots, at least 1
     * @param model the base model, not null
     * @param newestVersion returns an adapter's newest version, not null
     * @param fetchWindow limits the concurrent fetches of all targets that this entry owns, not null
     * @param listener receives changes, not null
     */
    public AdapterSlots(
            int slots,
            String model,
            Function<AdapterName, Long> newestVersion,
            FetchWindow fetchWindow,
            Listener listener) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots below 1: " + slots);
        }
        this.slots = slots;
        this.model = Objects.requireNonNull(model, "model");
        this.newestVersion = Objects.requireNonNull(newestVersion, "newestVersion");
        this.fetchWindow = Objects.requireNonNull(fetchWindow, "fetchWindow");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Requests the load of an adapter, or notifies the listener if it is loaded already.
     *
     * @param adapter the adapter, not null
     * @param deadline when the waiting request misses its objective, empty if none waits, not null
     * @param now the current time, in nanoseconds
     */
    public void enqueue(AdapterName adapter, OptionalLong deadline, long now) {
        enqueue(adapter, deadline, Optional.empty(), now);
    }

    /**
     * Requests the load of an adapter, or notifies the listener if it is loaded already.
     *
     * @param adapter the adapter, not null
     * @param deadline when the waiting request misses its objective, empty if none waits, not null
     * @param priority the priority of the waiting request, empty if loads are not ordered by priority, not null
     * @param now the current time, in nanoseconds
     */
    public void enqueue(AdapterName adapter, OptionalLong deadline, Optional<RequestPriority> priority, long now) {
        frequency.recordUses(adapter, 1, now);
        if (isLoaded(adapter)) {
            listener.onAdapterLoaded(adapter, resident.get(adapter));
            return;
        }
        loadQueue.enqueue(adapter, deadline, priority, now);
    }

    /**
     * Returns whether one more load request can get a slot without waiting for running requests to end.
     *
     * @param adapter the adapter, not null
     * @param now the current time, in nanoseconds
     * @return true if it can, or if the adapter is loaded, loading or queued already
     */
    public boolean hasSlotFor(AdapterName adapter, long now) {
        boolean known = resident.containsKey(adapter) || nextPollAt.containsKey(adapter) || loadQueue.contains(adapter);
        return known || slots - occupiedSlots() + evictionCandidates(now).count() > loadQueue.size();
    }

    /**
     * Records requests for an adapter that were sent to the target.
     *
     * @param adapter the adapter, not null
     * @param count the number of requests
     * @param now the current time, in nanoseconds
     */
    public void recordUses(AdapterName adapter, int count, long now) {
        frequency.recordUses(adapter, count, now);
    }

    /**
     * Replaces the adapters that an entry's running requests use.
     *
     * @param entry the entry, not null
     * @param adapters the adapters, not null
     * @param now the current time, in nanoseconds
     */
    public void updateRunning(String entry, Set<AdapterName> adapters, long now) {
        running.update(entry, adapters, now);
    }

    /**
     * Returns the time until the next call may be due.
     *
     * @param now the current time, in nanoseconds
     * @return the time, empty if a call may be due already or depends on other events than time, not null
     */
    public Optional<Duration> untilNextCall(long now) {
        boolean mayBeDue = acceptedOrders.isEmpty()
                || !modelLoaded
                || unansweredOrder.isPresent()
                || !loadQueue.isSubsetOf(nextPollAt.keySet());
        if (mayBeDue || callInProgress) {
            return Optional.empty();
        }
        Optional<Long> next = deferredAdapter.isPresent()
                ? deferredAdapter.map(adapter -> nextPollAt.getOrDefault(adapter, now))
                : nextPollAt.values().stream().min(Long::compare);
        return next.map(at -> Duration.ofNanos(Math.max(0, Math.max(at, earliestCallAt) - now)));
    }

    private boolean isLoaded(AdapterName adapter) {
        Long version = resident.get(adapter);
        return version != null && !unloading.contains(adapter) && version >= newestVersion.apply(adapter);
    }

    /**
     * Returns the next call, which is in progress from then on.
     *
     * @param now the current time, in nanoseconds
     * @return the call, or empty if none is due or one is in progress
     */
    public Optional<Call> nextCall(long now) {
        if (callInProgress || now < earliestCallAt) {
            return Optional.empty();
        }
        Optional<Call> call = acceptedOrders.isEmpty() ? Optional.of(new Call.ReadReport()) : nextOrder(now);
        callInProgress = call.isPresent();
        return call;
    }

    private Optional<Call> nextOrder(long now) {
        if (unansweredOrder.isPresent()) {
            return Optional.of(unansweredOrder.get());
        }
        if (!modelLoaded) {
            earliestCallAt = now + MODEL_POLL_INTERVAL.toNanos();
            return orderCall(Order.Operation.LOAD, Optional.empty());
        }
        if (deferredAdapter.isPresent()) {
            return pollDeferredOrder(now);
        }
        Optional<AdapterName> due = nextPollAt.entrySet().stream()
                .filter(poll -> poll.getValue() <= now)
                .map(Map.Entry::getKey)
                .findFirst();
        if (due.isPresent()) {
            return orderCall(pendingOperation(due.get()), due);
        }
        return nextLoadRequest(now);
    }

    private Optional<Call> pollDeferredOrder(long now) {
        if (nextPollAt.getOrDefault(deferredAdapter.get(), now) > now) {
            return Optional.empty();
        }
        return orderCall(pendingOperation(deferredAdapter.get()), deferredAdapter);
    }

    private Order.Operation pendingOperation(AdapterName adapter) {
        return unloading.contains(adapter) ? Order.Operation.UNLOAD : Order.Operation.LOAD;
    }

    private Optional<Call> nextLoadRequest(long now) {
        if (loadQueue.isEmpty() || loadingCount() >= MAX_CONCURRENT_LOADS) {
            return Optional.empty();
        }
        for (AdapterName adapter :
                loadQueue.byUrgency(now, fetchWindow.baseFetchTime().orElse(Duration.ZERO))) {
            if (isLoaded(adapter)) {
                loadQueue.remove(adapter);
                continue;
            }
            // Adapters in the target's own memory do not use the weight store, so they do not wait for it.
            boolean mustWait = isFetch(adapter) && !fetchWindow.isOpen();
            if (nextPollAt.containsKey(adapter) || mustWait) {
                continue;
            }
            if (resident.containsKey(adapter) || occupiedSlots() < slots) {
                loadQueue.recordStart(adapter, now);
                return orderCall(Order.Operation.LOAD, Optional.of(adapter));
            }
            return evictionVictim(now).flatMap(idle -> orderCall(Order.Operation.UNLOAD, Optional.of(idle)));
        }
        return Optional.empty();
    }

    private boolean isFetch(AdapterName adapter) {
        return !cachedAtTarget.contains(adapter);
    }

    private long loadingCount() {
        return nextPollAt.keySet().stream()
                .filter(adapter -> !unloading.contains(adapter))
                .count();
    }

    private long occupiedSlots() {
        return resident.size()
                + nextPollAt.keySet().stream()
                        .filter(adapter -> !resident.containsKey(adapter))
                        .count();
    }

    private Optional<AdapterName> evictionVictim(long now) {
        if (!unloading.isEmpty()) {
            return Optional.empty();
        }
        return evictionCandidates(now)
                .min((first, second) -> Double.compare(evictionRank(first, now), evictionRank(second, now)));
    }

    private Stream<AdapterName> evictionCandidates(long now) {
        return resident.keySet().stream()
                .filter(adapter -> !loadQueue.contains(adapter) && !nextPollAt.containsKey(adapter))
                .filter(adapter -> frequency.isIdle(adapter, now, MIN_IDLE_BEFORE_EVICTION.toNanos()))
                .filter(adapter -> !running.contains(adapter, now));
    }

    /** Outdated versions serve no requests, so they are evicted first. */
    private double evictionRank(AdapterName adapter, long now) {
        boolean outdated = resident.get(adapter) < newestVersion.apply(adapter);
        return outdated ? -1 : frequency.score(adapter, now);
    }

    private Optional<Call> orderCall(Order.Operation operation, Optional<AdapterName> adapter) {
        if (operation == Order.Operation.LOAD) {
            adapter.ifPresent(name -> orderedVersions.computeIfAbsent(name, newestVersion));
        }
        return Optional.of(new Call.SendOrder(operation, adapter, acceptedOrders.getAsLong()));
    }

    /**
     * Processes the result of an order.
     *
     * @param sent the order, not null
     * @param result the result, not null
     * @param now the current time, in nanoseconds
     */
    public void onOrderResult(Call.SendOrder sent, OrderResult result, long now) {
        callInProgress = false;
        sendAttempts++;
        if (result == OrderResult.UNKNOWN && mayRepeat(sent)) {
            unansweredOrder = Optional.of(sent);
            return;
        }
        boolean wasUnanswered = unansweredOrder.isPresent();
        unansweredOrder = Optional.empty();
        sendAttempts = 0;
        switch (result) {
            case ACCEPTED -> onAccepted(sent, now);
            case ALREADY_SO -> onAlreadyDone(sent, wasUnanswered, now);
            case REFUSED, FENCED, ANOTHER_TARGET -> onRefused(sent, now);
            default -> requireReport(now);
        }
    }

    /** Model loads are repeated in any case, and a poll is not a new order. */
    private boolean mayRepeat(Call.SendOrder sent) {
        boolean known = sent.adapter().isEmpty()
                || nextPollAt.containsKey(sent.adapter().get());
        return !known && sendAttempts < MAX_SEND_ATTEMPTS;
    }

    private void onAccepted(Call.SendOrder sent, long now) {
        if (sent.adapter().isEmpty()) {
            if (!modelLoading) {
                modelLoading = true;
                countOrder();
            }
            return;
        }
        AdapterName adapter = sent.adapter().get();
        boolean repeated = nextPollAt.containsKey(adapter);
        boolean deferred = sent.operation() == Order.Operation.UNLOAD || resident.containsKey(adapter);
        if (!repeated && !(deferred && orderCountUncertain)) {
            countOrder();
        }
        orderCountUncertain &= deferred || repeated;
        if (deferred) {
            deferredAdapter = Optional.of(adapter);
        }
        if (!deferred && !repeated && isFetch(adapter)) {
            fetchStartedAt.put(adapter, now);
            fetchWindow.onFetchStarted();
        }
        nextPollAt.put(adapter, now + pollDelay(adapter, deferred, repeated));
        if (sent.operation() == Order.Operation.UNLOAD && unloading.add(adapter)) {
            listener.onAdapterUnavailable(adapter);
        }
    }

    private long pollDelay(AdapterName adapter, boolean deferred, boolean repeated) {
        if (deferred) {
            return DEFERRED_ORDER_POLL_INTERVAL.toNanos();
        }
        if (repeated) {
            return POLL_INTERVAL.toNanos();
        }
        if (!isFetch(adapter)) {
            return CACHED_FIRST_POLL_DELAY.toNanos();
        }
        return fetchWindow
                .baseFetchTime()
                .map(time -> (long) (time.toNanos() * FIRST_POLL_FRACTION))
                .orElse(POLL_INTERVAL.toNanos());
    }

    private void onAlreadyDone(Call.SendOrder sent, boolean wasUnanswered, long now) {
        if (sent.adapter().isEmpty()) {
            modelLoading = false;
            modelLoaded = true;
            listener.onModelLoaded();
            return;
        }
        AdapterName adapter = sent.adapter().get();
        boolean repeated = nextPollAt.remove(adapter) != null;
        deferredAdapter = deferredAdapter.filter(deferred -> !deferred.equals(adapter));
        if (sent.operation() == Order.Operation.UNLOAD) {
            if (!repeated && resident.containsKey(adapter)) {
                countOrder();
            }
            unloading.remove(adapter);
            resident.remove(adapter);
            addCachedAtTarget(adapter);
            listener.onAdapterUnavailable(adapter);
            if (orderCountUncertain) {
                requireReport(now);
            }
            return;
        }
        if (wasUnanswered && !repeated && !resident.containsKey(adapter)) {
            countOrder();
        }
        Long startedAt = fetchStartedAt.remove(adapter);
        if (startedAt != null) {
            fetchWindow.onFetchEnded(Duration.ofNanos(now - startedAt));
        }
        Long orderedVersion = orderedVersions.remove(adapter);
        long version = orderedVersion != null ? orderedVersion : newestVersion.apply(adapter);
        boolean replaced = repeated && resident.containsKey(adapter);
        resident.put(adapter, version);
        if (isLoaded(adapter)) {
            loadQueue.remove(adapter);
        }
        frequency.recordUses(adapter, 0, now);
        listener.onAdapterLoaded(adapter, version);
        if (orderCountUncertain && replaced) {
            requireReport(now);
        }
    }

    private void countOrder() {
        acceptedOrders = OptionalLong.of(acceptedOrders.getAsLong() + 1);
    }

    private void addCachedAtTarget(AdapterName adapter) {
        cachedAtTarget.remove(adapter);
        cachedAtTarget.addLast(adapter);
        if (cachedAtTarget.size() > MAX_CACHED_ADAPTERS) {
            cachedAtTarget.removeFirst();
        }
    }

    private void onRefused(Call.SendOrder sent, long now) {
        sent.adapter().ifPresent(loadQueue::remove);
        sent.adapter().filter(adapter -> !nextPollAt.containsKey(adapter)).ifPresent(orderedVersions::remove);
        earliestCallAt = now + REFUSAL_DELAY.toNanos();
    }

    private void requireReport(long now) {
        orderCountUncertain = true;
        abandonFetches();
        acceptedOrders = OptionalLong.empty();
        earliestCallAt = now + REPORT_LAG.toNanos();
    }

    private void abandonFetches() {
        fetchStartedAt.keySet().forEach(adapter -> fetchWindow.onFetchAbandoned());
        fetchStartedAt.clear();
    }

    /** Stops tracking the fetches in progress, which the next owner of the target polls. */
    public void close() {
        abandonFetches();
    }

    /**
     * Replaces the tracked state with that of a report.
     *
     * @param report the report, not null
     * @param now the current time, in nanoseconds
     */
    public void onReport(TargetReport report, long now) {
        callInProgress = false;
        acceptedOrders = OptionalLong.of(report.acceptedOrders());
        modelLoaded = report.models().containsKey(model);
        modelLoading = false;
        Map<AdapterName, Long> loaded = new HashMap<>();
        report.models()
                .getOrDefault(model, Map.of())
                .forEach((adapter, version) -> loaded.put(new AdapterName(model, adapter), version));
        Set<AdapterName> removed = new HashSet<>(resident.keySet());
        removed.removeAll(loaded.keySet());
        resident.clear();
        resident.putAll(loaded);
        unloading.clear();
        deferredAdapter = Optional.empty();
        nextPollAt.clear();
        report.loading()
                .forEach(adapter -> nextPollAt.put(new AdapterName(model, adapter), now + POLL_INTERVAL.toNanos()));
        orderedVersions.keySet().retainAll(nextPollAt.keySet());
        nextPollAt.keySet().forEach(adapter -> orderedVersions.computeIfAbsent(adapter, newestVersion));
        removed.forEach(listener::onAdapterUnavailable);
        loaded.forEach(listener::onAdapterLoaded);
    }

    /**
     * Schedules another attempt to read the report.
     *
     * @param now the current time, in nanoseconds
     */
    public void onReportFailed(long now) {
        callInProgress = false;
        earliestCallAt = now + REFUSAL_DELAY.toNanos();
    }

    /**
     * Returns whether calls to the target are still needed.
     *
     * @return false if nothing is queued, loading or unloading, and the state is known
     */
    public boolean isBusy() {
        return acceptedOrders.isEmpty() || !modelLoaded || !loadQueue.isEmpty() || !nextPollAt.isEmpty();
    }

    public String model() {
        return model;
    }
}
