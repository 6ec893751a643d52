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

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The adapter slots of one life of a target, as its owner tracks them.
 *
 * <p>Invariants: the adapters that are loaded, loading, or may not be unloaded yet are never more than the slots, since an order
 * beyond them crashes the target; at most {@link #MAX_CONCURRENT_LOADS} are coming; one call is under way at a time, so the number of
 * accepted orders that each order names is known, and an order that is carried out late finds another number and does
 * nothing. An order whose answer was lost is sent again unchanged before any other: whichever copy comes first is carried out,
 * and the others find another number. After {@link #MAX_SEND_ATTEMPTS}, or a conflict, nothing is ordered until a report has told
 * what is so. Confined to the event loop.
 */
public final class AdapterSlots {

    /** Adapters that a target fetches at the same time; it refuses more. */
    static final int MAX_CONCURRENT_LOADS = 4;

    /**
     * Part of an undisturbed fetch's time after which it is polled first. Recent fetch times would feed back: they are measured by
     * these polls, so one slow fetch would delay the polls of the next ones.
     */
    private static final double FIRST_POLL_FRACTION = 0.92;

    private static final Duration CACHED_FIRST_POLL_DELAY = Duration.ofMillis(24);

    /** An order repeated to ask whether a load is done costs a thirtieth of a report and delays nobody. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(25);

    /** A target that waits for runs to end before it carries an order out refuses all others meanwhile. */
    private static final Duration DEFERRED_ORDER_POLL_INTERVAL = Duration.ofMillis(40);

    /** Sendings of one order; a target that answers none of them is better asked for a report. */
    private static final int MAX_SEND_ATTEMPTS = 3;

    private static final Duration MODEL_POLL_INTERVAL = Duration.ofMillis(200);

    /** A report tells of a moment up to 0.2 s ago, so one read sooner may not know of the last order. */
    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    /** Entries report requests that began within {@link UsageReports#CHECK_INTERVAL}, so one that began earlier is known. */
    private static final Duration MIN_IDLE_BEFORE_EVICTION = Duration.ofMillis(450);

    /** Adapters that a target is taken to keep at hand after they were evicted; taken for more, a fetch would not be counted as one. */
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
    private Optional<Step.Send> unansweredOrder = Optional.empty();
    private int sendAttempts;

    /**
     * Whether an order from before the last report may still await runs at the target. A report does not tell; the same order sent
     * again is accepted without being counted there. Counted here, it made a later order name a number yet to come: lost, and
     * carried out when the number came, it loaded an adapter beyond the places. So the count is read anew after such an order,
     * until the target has accepted a load, whose number it has checked.
     */
    private boolean orderCountUncertain = true;

    /** Is told of adapters that come and go. */
    public interface Listener {

        /**
         * Tells that an adapter is there.
         *
         * @param adapter the adapter, not null
         * @param version its version
         */
        void arrived(AdapterName adapter, long version);

        /**
         * Tells that an adapter is not there any more, or will not be for requests that come now.
         *
         * @param adapter the adapter, not null
         */
        void leaves(AdapterName adapter);

        /** Tells that the base model is there. */
        void modelArrived();
    }

    /** A call to be made. */
    public sealed interface Step {

        /**
         * Send an order.
         *
         * @param operation what to do
         * @param adapter the adapter, empty for the base model
         * @param expectedOrders the orders accepted before
         */
        record Send(Order.Operation operation, Optional<AdapterName> adapter, long expectedOrders) implements Step {}

        /** Read the report. */
        record ReadReport() implements Step {}
    }

    /**
     * Makes the places of a target whose state is not known yet.
     *
     * @param places how many there are
     * @param model the base model, not null
     * @param newestVersion tells an adapter's newest version, not null
     * @param window limits the fetches of all targets that this entry holds, not null
     * @param listener told of changes, not null
     */
    public AdapterSlots(
            int places,
            String model,
            Function<AdapterName, Long> newestVersion,
            FetchWindow window,
            Listener listener) {
        if (places < 1) {
            throw new IllegalArgumentException("places below 1: " + places);
        }
        this.slots = places;
        this.model = Objects.requireNonNull(model, "model");
        this.newestVersion = Objects.requireNonNull(newestVersion, "newestVersion");
        this.fetchWindow = Objects.requireNonNull(window, "window");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Asks for an adapter.
     *
     * @param adapter the adapter, not null
     * @param lateAt when the request that waits for it misses its objective, empty if none waits, not null
     * @param now the time
     */
    public void enqueue(AdapterName adapter, OptionalLong lateAt, long now) {
        frequency.recordUses(adapter, 1, now);
        if (isPresent(adapter)) {
            listener.arrived(adapter, resident.get(adapter));
            return;
        }
        loadQueue.enqueue(adapter, lateAt, now);
    }

    /**
     * Queries whether one more load request finds a slot before those that run have ended.
     *
     * @param adapter the adapter, not null
     * @param now the time
     * @return true if it does, or if the adapter is there, coming or asked for already
     */
    public boolean hasSlotFor(AdapterName adapter, long now) {
        boolean known = resident.containsKey(adapter) || nextPollAt.containsKey(adapter) || loadQueue.contains(adapter);
        return known || slots - occupiedSlots() + evictionCandidates(now).count() > loadQueue.size();
    }

    /**
     * Notes that requests for an adapter were sent to the target.
     *
     * @param adapter the adapter, not null
     * @param count how many
     * @param now the time
     */
    public void used(AdapterName adapter, int count, long now) {
        frequency.recordUses(adapter, count, now);
    }

    /**
     * Takes an entry's report of the adapters that its requests run for.
     *
     * @param entry the entry, not null
     * @param adapters the adapters, not null
     * @param now the time
     */
    public void running(String entry, Set<AdapterName> adapters, long now) {
        running.update(entry, adapters, now);
    }

    /**
     * Gets how long nothing is to be done.
     *
     * @param now the time
     * @return the time until the next call may be due, empty if that depends on other events than the passing of time, not null
     */
    public Optional<Duration> untilNextCall(long now) {
        boolean open = acceptedOrders.isEmpty()
                || !modelLoaded
                || unansweredOrder.isPresent()
                || !loadQueue.isSubsetOf(nextPollAt.keySet());
        if (open || callInProgress) {
            return Optional.empty();
        }
        Optional<Long> next = deferredAdapter.isPresent()
                ? deferredAdapter.map(waiting -> nextPollAt.getOrDefault(waiting, now))
                : nextPollAt.values().stream().min(Long::compare);
        return next.map(at -> Duration.ofNanos(Math.max(0, Math.max(at, earliestCallAt) - now)));
    }

    private boolean isPresent(AdapterName adapter) {
        Long version = resident.get(adapter);
        return version != null && !unloading.contains(adapter) && version >= newestVersion.apply(adapter);
    }

    /**
     * Chooses the next call.
     *
     * @param now the time
     * @return the call, or empty if none is due
     */
    public Optional<Step> next(long now) {
        if (callInProgress || now < earliestCallAt) {
            return Optional.empty();
        }
        Optional<Step> step = acceptedOrders.isEmpty() ? Optional.of(new Step.ReadReport()) : nextOrder(now);
        callInProgress = step.isPresent();
        return step;
    }

    private Optional<Step> nextOrder(long now) {
        if (unansweredOrder.isPresent()) {
            return Optional.of(unansweredOrder.get());
        }
        if (!modelLoaded) {
            earliestCallAt = now + MODEL_POLL_INTERVAL.toNanos();
            return send(Order.Operation.LOAD, Optional.empty());
        }
        if (deferredAdapter.isPresent()) {
            return pollDeferredOrder(now);
        }
        Optional<AdapterName> due = nextPollAt.entrySet().stream()
                .filter(poll -> poll.getValue() <= now)
                .map(Map.Entry::getKey)
                .findFirst();
        if (due.isPresent()) {
            return send(pendingOperation(due.get()), due);
        }
        return nextLoadRequest(now);
    }

    private Optional<Step> pollDeferredOrder(long now) {
        if (nextPollAt.getOrDefault(deferredAdapter.get(), now) > now) {
            return Optional.empty();
        }
        return send(pendingOperation(deferredAdapter.get()), deferredAdapter);
    }

    private Order.Operation pendingOperation(AdapterName underWay) {
        return unloading.contains(underWay) ? Order.Operation.UNLOAD : Order.Operation.LOAD;
    }

    private Optional<Step> nextLoadRequest(long now) {
        if (loadQueue.isEmpty() || loadingCount() >= MAX_CONCURRENT_LOADS) {
            return Optional.empty();
        }
        for (AdapterName adapter :
                loadQueue.byUrgency(now, fetchWindow.baseFetchTime().orElse(Duration.ZERO))) {
            if (isPresent(adapter)) {
                loadQueue.remove(adapter);
                continue;
            }
            // What the target has at hand does not wait for the weight store behind what it has not.
            boolean mustWait = isFetch(adapter) && !fetchWindow.isOpen();
            if (nextPollAt.containsKey(adapter) || mustWait) {
                continue;
            }
            if (resident.containsKey(adapter) || occupiedSlots() < slots) {
                return send(Order.Operation.LOAD, Optional.of(adapter));
            }
            return evictionVictim(now).flatMap(idle -> send(Order.Operation.UNLOAD, Optional.of(idle)));
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
                .min((one, other) -> Double.compare(evictionRank(one, now), evictionRank(other, now)));
    }

    private Stream<AdapterName> evictionCandidates(long now) {
        return resident.keySet().stream()
                .filter(adapter -> !loadQueue.contains(adapter) && !nextPollAt.containsKey(adapter))
                .filter(adapter -> frequency.isIdle(adapter, now, MIN_IDLE_BEFORE_EVICTION.toNanos()))
                .filter(adapter -> !running.contains(adapter, now));
    }

    /** An outdated version serves nobody, so it goes first. */
    private double evictionRank(AdapterName adapter, long now) {
        boolean outdated = resident.get(adapter) < newestVersion.apply(adapter);
        return outdated ? -1 : frequency.score(adapter, now);
    }

    private Optional<Step> send(Order.Operation operation, Optional<AdapterName> adapter) {
        return Optional.of(new Step.Send(operation, adapter, acceptedOrders.getAsLong()));
    }

    /**
     * Takes the answer to an order.
     *
     * @param sent the order, not null
     * @param result its result, not null
     * @param now the time
     */
    public void answered(Step.Send sent, OrderResult result, long now) {
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
            case ACCEPTED -> accepted(sent, now);
            case ALREADY_SO -> onAlreadyDone(sent, wasUnanswered, now);
            case REFUSED, FENCED, ANOTHER_TARGET -> onRefused(sent, now);
            default -> requireReport(now);
        }
    }

    /** A load of the base model is asked for again in any case, and a look is no new order. */
    private boolean mayRepeat(Step.Send sent) {
        boolean known = sent.adapter().isEmpty()
                || nextPollAt.containsKey(sent.adapter().get());
        return !known && sendAttempts < MAX_SEND_ATTEMPTS;
    }

    private void accepted(Step.Send sent, long now) {
        if (sent.adapter().isEmpty()) {
            if (!modelLoading) {
                modelLoading = true;
                countOrder();
            }
            return;
        }
        AdapterName adapter = sent.adapter().get();
        boolean repeated = nextPollAt.containsKey(adapter);
        boolean waits = sent.operation() == Order.Operation.UNLOAD || resident.containsKey(adapter);
        if (!repeated && !(waits && orderCountUncertain)) {
            countOrder();
        }
        orderCountUncertain &= waits || repeated;
        if (waits) {
            deferredAdapter = Optional.of(adapter);
        }
        if (!waits && !repeated && isFetch(adapter)) {
            fetchStartedAt.put(adapter, now);
            fetchWindow.onFetchStarted();
        }
        nextPollAt.put(adapter, now + pollDelay(adapter, waits, repeated));
        if (sent.operation() == Order.Operation.UNLOAD && unloading.add(adapter)) {
            listener.leaves(adapter);
        }
    }

    private long pollDelay(AdapterName adapter, boolean waits, boolean repeated) {
        if (waits) {
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

    private void onAlreadyDone(Step.Send sent, boolean wasUnanswered, long now) {
        if (sent.adapter().isEmpty()) {
            modelLoading = false;
            modelLoaded = true;
            listener.modelArrived();
            return;
        }
        AdapterName adapter = sent.adapter().get();
        boolean repeated = nextPollAt.remove(adapter) != null;
        deferredAdapter = deferredAdapter.filter(waiting -> !waiting.equals(adapter));
        if (sent.operation() == Order.Operation.UNLOAD) {
            if (!repeated && resident.containsKey(adapter)) {
                countOrder();
            }
            unloading.remove(adapter);
            resident.remove(adapter);
            addCachedAtTarget(adapter);
            listener.leaves(adapter);
            if (orderCountUncertain) {
                requireReport(now);
            }
            return;
        }
        if (wasUnanswered && !repeated && !resident.containsKey(adapter)) {
            countOrder();
        }
        Long since = fetchStartedAt.remove(adapter);
        if (since != null) {
            fetchWindow.onFetchEnded(Duration.ofNanos(now - since));
        }
        long version = newestVersion.apply(adapter);
        boolean replaced = repeated && resident.containsKey(adapter);
        resident.put(adapter, version);
        loadQueue.remove(adapter);
        frequency.recordUses(adapter, 0, now);
        listener.arrived(adapter, version);
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

    private void onRefused(Step.Send sent, long now) {
        sent.adapter().ifPresent(loadQueue::remove);
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

    /** Ends the keeping: what is still fetched is looked after by the next holder. */
    public void close() {
        abandonFetches();
    }

    /**
     * Takes a report.
     *
     * @param report the report, not null
     * @param now the time
     */
    public void reported(TargetReport report, long now) {
        callInProgress = false;
        acceptedOrders = OptionalLong.of(report.acceptedOrders());
        modelLoaded = report.models().containsKey(model);
        modelLoading = false;
        Map<AdapterName, Long> there = new HashMap<>();
        report.models()
                .getOrDefault(model, Map.of())
                .forEach((adapter, version) -> there.put(new AdapterName(model, adapter), version));
        Set<AdapterName> gone = new HashSet<>(resident.keySet());
        gone.removeAll(there.keySet());
        resident.clear();
        resident.putAll(there);
        unloading.clear();
        deferredAdapter = Optional.empty();
        nextPollAt.clear();
        report.loading()
                .forEach(adapter -> nextPollAt.put(new AdapterName(model, adapter), now + POLL_INTERVAL.toNanos()));
        gone.forEach(listener::leaves);
        there.forEach(listener::arrived);
    }

    /**
     * Notes that there was no report.
     *
     * @param now the time
     */
    public void reportFailed(long now) {
        callInProgress = false;
        earliestCallAt = now + REFUSAL_DELAY.toNanos();
    }

    /**
     * Queries whether there is anything to look after.
     *
     * @return false if nothing is wanted, coming or leaving, and all is known
     */
    public boolean isBusy() {
        return acceptedOrders.isEmpty() || !modelLoaded || !loadQueue.isEmpty() || !nextPollAt.isEmpty();
    }

    public String model() {
        return model;
    }
}
