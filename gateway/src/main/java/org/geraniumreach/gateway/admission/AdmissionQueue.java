package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

import org.geraniumreach.gateway.admission.AdmissionDecision.Admitted;
import org.geraniumreach.gateway.admission.AdmissionDecision.Queued;
import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionDecision.Rejected;
import org.geraniumreach.gateway.admission.TargetCapacity.Demand;
import org.geraniumreach.gateway.priority.PriorityOrder;
import org.geraniumreach.gateway.priority.PriorityOrder.Candidate;
import org.geraniumreach.gateway.priority.PriorityOrder.Selection;
import org.geraniumreach.gateway.priority.RequestPriority;

/**
 * Decides which requests may be sent to one target, and when.
 *
 * <p>Intended for targets that many accounts ask for up to twice their capacity, of which one asks for several times its usual part. The order
 * is that of {@link PriorityOrder}, by prefill time in milliseconds.
 *
 * <p>Invariants: admitted requests keep to the limits of {@link TargetCapacity}; at most {@link #MAXIMUM_WAITING} requests wait; each request
 * gets one final decision, or none if it is withdrawn; a request waits only while the one that is next in order cannot start. Confined to the
 * event loop.
 */
public final class AdmissionQueue {

    /** The largest number of requests that wait, several times what a target can start within the longest objective. */
    public static final int MAXIMUM_WAITING = 128;

    /** The prefill time that is kept for less urgent classes, about that of a prompt of three times the mean length. */
    private static final double MAXIMUM_CREDIT_MILLIS = 200;

    /**
     * The fraction of its prefill time that a rejected request counts as usage. Without it an account that repeats at once would be present
     * whenever capacity becomes free, and would get more than one that returns at its time.
     */
    private static final double REJECTION_COST = 0.05;

    /** Used to order by prompt tokens if the rate is unknown. */
    private static final double DEFAULT_TOKENS_PER_MILLI = 1;

    /**
     * The longest prefill time that is counted for one prompt, about that of a full KV cache. Callers state the number of tokens, and a wrong
     * number must not keep all others from the target for longer.
     */
    private static final double MAXIMUM_PREFILL_MILLIS = 10_000;

    /** Longer times would overflow sums of times in nanoseconds. */
    private static final Duration LONGEST_TIME = Duration.ofDays(1);

    /** More tokens would overflow sums of tokens. */
    private static final long MAXIMUM_TOKENS = Long.MAX_VALUE / 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final DoubleSupplier tokensPerMilli;
    private final TargetCapacity capacity;
    private final PriorityOrder order = new PriorityOrder(MAXIMUM_CREDIT_MILLIS);
    private final RetryTimes retryTimes = new RetryTimes();
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private final List<Outcome> displaced = new ArrayList<>();
    private boolean changed;
    private long updatedAt;
    private double rate;

    private record Waiting(long id, AdmissionRequest request, long arrivedAt) {

        long latestStart() {
            return arrivedAt + bounded(request.maximumDelay()).toNanos();
        }

        long deadline() {
            return arrivedAt + bounded(request.objectiveLeft()).toNanos();
        }

        private static Duration bounded(Duration time) {
            if (time.compareTo(LONGEST_TIME) > 0) {
                return LONGEST_TIME;
            }
            return time.compareTo(LONGEST_TIME.negated()) < 0 ? LONGEST_TIME.negated() : time;
        }
    }

    /** The foreseen starts of the waiting requests. */
    private static final class Plan {

        private final Map<Long, Long> starts = new HashMap<>();
        private final List<Waiting> hopeless = new ArrayList<>();
        private final long[] readyAt = new long[RequestPriority.LEAST_URGENT + 1];
    }

    /**
     * Creates an empty queue.
     *
     * @param settings the bounds, not null
     * @param tokensPerMilli the prompt tokens that the target reads per millisecond now, read at each decision; a value that
     *         is not above 0 or not finite does not limit, not null
     */
    public AdmissionQueue(AdmissionSettings settings, DoubleSupplier tokensPerMilli) {
        this.capacity = new TargetCapacity(Objects.requireNonNull(settings, "settings"));
        this.tokensPerMilli = Objects.requireNonNull(tokensPerMilli, "tokensPerMilli");
    }

    /**
     * Decides on a request.
     *
     * <p>The caller polls afterwards, since the request may have displaced others. A request that waits or is admitted already keeps its
     * state.
     *
     * @param id the id of the request
     * @param request the request, not null
     * @param now the current time, in nanoseconds
     * @return the decision, not null
     */
    public AdmissionDecision offer(long id, AdmissionRequest request, long now) {
        Objects.requireNonNull(request, "request");
        update(now);
        if (capacity.isAdmitted(id)) {
            return new Admitted();
        }
        displaced.removeIf(outcome -> outcome.id() == id);
        Waiting offered = waiting.computeIfAbsent(id, missing -> new Waiting(id, request, now));
        Plan plan = plan(now);
        if (plan.hopeless.contains(offered)) {
            waiting.remove(id);
            return reject(offered.request(), Reason.NO_TIME, plan, now);
        }
        if (waiting.size() > MAXIMUM_WAITING) {
            Waiting last = selection(now).last().orElseThrow().item();
            if (last.request().urgency() == request.urgency()) {
                waiting.remove(id);
                return reject(request, Reason.QUEUE_FULL, plan, now);
            }
            waiting.remove(last.id());
            displaced.add(new Outcome(last.id(), reject(last.request(), Reason.DISPLACED, plan, now)));
        }
        Optional<Candidate<Waiting>> startable = startable(now);
        if (startable.isPresent() && startable.get().item().equals(offered)) {
            admit(startable.get(), now);
            return new Admitted();
        }
        return new Queued(Duration.ofNanos(plan.starts.get(id) - now));
    }

    private void update(long now) {
        capacity.forgetExpired(now);
        changed = true;
        updatedAt = now;
        rate = tokensPerMilli.getAsDouble();
    }

    private Selection<Waiting> selection(long now) {
        List<Candidate<Waiting>> candidates = new ArrayList<>();
        for (Waiting request : waiting.values()) {
            double prefillMillis = orderingMillis(request.request());
            boolean inTime = now + (long) (prefillMillis * NANOS_PER_MILLI) <= request.deadline();
            candidates.add(
                    new Candidate<>(request, request.request().priority(), inTime, request.deadline(), prefillMillis));
        }
        return order.select(candidates, now);
    }

    private double orderingMillis(AdmissionRequest request) {
        return Math.min(
                request.promptTokens() / (isRateKnown() ? rate : DEFAULT_TOKENS_PER_MILLI), MAXIMUM_PREFILL_MILLIS);
    }

    private Demand demand(AdmissionRequest request) {
        long nanos = isRateKnown() ? (long) (orderingMillis(request) * NANOS_PER_MILLI) : 0;
        return new Demand(
                Duration.ofNanos(nanos),
                Math.min(request.promptTokens(), MAXIMUM_TOKENS) + Math.min(request.outputTokens(), MAXIMUM_TOKENS));
    }

    private boolean isRateKnown() {
        return rate > 0 && Double.isFinite(rate);
    }

    private Plan plan(long now) {
        Plan plan = new Plan();
        Selection<Waiting> selection = selection(now);
        TargetCapacity.Projection projection = capacity.project(now);
        Demand none = new Demand(Duration.ZERO, 0);
        Arrays.fill(plan.readyAt, projection.startOf(none));
        for (Optional<Candidate<Waiting>> next = selection.next(); next.isPresent(); next = selection.next()) {
            Waiting request = next.get().item();
            Demand demand = demand(request.request());
            long start = projection.startOf(demand);
            if (start > request.latestStart()) {
                plan.hopeless.add(request);
                selection.drop(next.get());
                continue;
            }
            plan.starts.put(request.id(), start);
            projection.start(demand);
            selection.start(next.get());
            Arrays.fill(plan.readyAt, request.request().urgency(), plan.readyAt.length, projection.startOf(none));
        }
        return plan;
    }

    private Rejected reject(AdmissionRequest request, Reason reason, Plan plan, long now) {
        order.usage().add(request.priority(), REJECTION_COST * orderingMillis(request), now);
        long spacing = (long) (demand(request).prefillTime().toNanos() / PromptPacer.READING_FRACTION);
        Duration retryAfter =
                retryTimes.assign(request.priority(), plan.readyAt[request.urgency()], Duration.ofNanos(spacing), now);
        return new Rejected(retryAfter, reason);
    }

    /** Returns the request that can start now, if the next one in order can. */
    private Optional<Candidate<Waiting>> startable(long now) {
        Selection<Waiting> selection = selection(now);
        // A less urgent request that the memory cannot hold yet must not delay more urgent ones.
        return selection.next().filter(candidate -> canStart(candidate, now)).or(() -> selection
                .first()
                .filter(candidate -> canStart(candidate, now)));
    }

    private boolean canStart(Candidate<Waiting> candidate, long now) {
        return capacity.canStart(demand(candidate.item().request()), now);
    }

    private void admit(Candidate<Waiting> candidate, long now) {
        int mostUrgent = waiting.values().stream()
                .mapToInt(other -> other.request().urgency())
                .min()
                .orElseThrow();
        Waiting admitted = candidate.item();
        waiting.remove(admitted.id());
        order.recordStart(candidate, mostUrgent, now);
        capacity.admit(admitted.id(), demand(admitted.request()), now);
    }

    /**
     * Returns the requests that were admitted or rejected since the last call, in the order of the decisions.
     *
     * @param now the current time, in nanoseconds
     * @return the outcomes, each once, not null
     */
    public List<Outcome> poll(long now) {
        update(now);
        List<Outcome> outcomes = new ArrayList<>(displaced);
        displaced.clear();
        rejectHopeless(outcomes, now);
        for (Optional<Candidate<Waiting>> next = startable(now); next.isPresent(); next = startable(now)) {
            admit(next.get(), now);
            outcomes.add(new Outcome(next.get().item().id(), new Admitted()));
        }
        changed = false;
        return outcomes;
    }

    private void rejectHopeless(List<Outcome> outcomes, long now) {
        Plan plan = plan(now);
        List<Waiting> leastUrgentFirst = new ArrayList<>(plan.hopeless);
        Collections.reverse(leastUrgentFirst);
        leastUrgentFirst.sort(Collections.reverseOrder(
                Comparator.comparingInt(hopeless -> hopeless.request().urgency())));
        for (Waiting hopeless : leastUrgentFirst) {
            Reason reason = isDisplaced(hopeless) ? Reason.DISPLACED : Reason.NO_TIME;
            outcomes.add(new Outcome(hopeless.id(), reject(hopeless.request(), reason, plan, now)));
        }
        leastUrgentFirst.forEach(hopeless -> waiting.remove(hopeless.id()));
    }

    /** Queries whether a more urgent request has arrived after a waiting one. */
    private boolean isDisplaced(Waiting request) {
        return waiting.values().stream()
                .dropWhile(other -> !other.equals(request))
                .anyMatch(other -> other.request().urgency() < request.request().urgency());
    }

    /**
     * Removes a waiting request whose caller has gone; ignored if it does not wait.
     *
     * @param id the id of the request
     * @param now the current time, in nanoseconds
     */
    public void withdraw(long id, long now) {
        update(now);
        waiting.remove(id);
        displaced.removeIf(outcome -> outcome.id() == id);
    }

    /**
     * Releases the slot and the memory of an admitted request that has ended; ignored if it was never admitted or is forgotten.
     *
     * @param id the id of the request
     * @param now the current time, in nanoseconds
     */
    public void end(long id, long now) {
        update(now);
        capacity.end(id, now);
    }

    /**
     * Returns when the next call of {@link #poll} may return an outcome if nothing else is called before.
     *
     * @return the time, in nanoseconds, empty if it depends on other events than time, not null
     */
    public OptionalLong nextEventAt() {
        if (waiting.isEmpty() && displaced.isEmpty()) {
            return OptionalLong.empty();
        }
        if (changed) {
            return OptionalLong.of(updatedAt);
        }
        long nextExpiry = waiting.values().stream()
                .mapToLong(request -> request.latestStart() + 1)
                .min()
                .orElseThrow();
        return OptionalLong.of(
                Math.min(nextExpiry, capacity.nextChangeAt(updatedAt).orElse(nextExpiry)));
    }

    /**
     * Updates the number of requests at the target as it reports them. Those that this queue did not admit occupy slots as well.
     *
     * @param requests the number of requests that run or wait at the target
     * @param now the current time, in nanoseconds
     */
    public void reportLoad(int requests, long now) {
        update(now);
        capacity.reportLoad(requests, now);
    }

    /**
     * Counts the waiting requests.
     *
     * @return the number, at most {@link #MAXIMUM_WAITING}
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Computes the decayed usage of an account over its weight, as the order uses it.
     *
     * @param request a request of the account, not null
     * @param now the current time, in nanoseconds
     * @return the prefill time in milliseconds over the weight, 0 if the account has used nothing
     */
    public double usage(AdmissionRequest request, long now) {
        return order.usage().relativeUsage(request.priority(), now);
    }
}
