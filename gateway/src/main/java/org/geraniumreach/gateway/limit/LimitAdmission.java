package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.division.LimitDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.PendingAnswers;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Keeps the requests of all entries to a limited target within the target's limit, through the target's owner.
 *
 * <p>Intended for any number of entries, each of which sends few requests to the target. Ownership is exclusive, so the limit holds however
 * much the entries' views of one another differ. Entries that cannot reach the owner divide a few requests among themselves, which are
 * part of what a target tolerates beyond its limit.
 *
 * <p>Invariants: an entry that knows of a limit sends no request without the owner's permission or a part of those few. A
 * permission is used within {@link #PERMISSION_TIME}. A target that may be paused gets nothing more from an entry, since all that it was
 * sent would arrive together; the owner permits only a few requests to all entries together since a target certainly ran. Confined to the event
 * loop.
 */
public final class LimitAdmission implements RequestLimiter, TargetRegistry.Listener {

    /** Longer than the span over which targets count, since requests take different times to arrive. */
    static final Duration WINDOW = Duration.ofMillis(4_500);

    /** A permission that comes later is lost, and the target then gets less than it takes. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /** Time after which an entry without a permission asks again; a target without an owner gets one within this time. */
    private static final Duration OWNER_RETRY_INTERVAL = Duration.ofMillis(500);

    /** How long a permission may be held while the request's adapter is loaded. */
    private static final Duration PERMISSION_TIME = Duration.ofSeconds(1);

    /** Seconds of the limit, and further requests, that all entries together send within a window without the owner. */
    private static final double UNOWNED_SECONDS = 0.5;

    private static final double UNOWNED_EXTRA_REQUESTS = 4;

    /** Together with the requests of the next window, those that have arrived at once keep to the limit if a paused target wakes. */
    private static final double UNANSWERED_SECONDS = 2;

    private static final int UNANSWERED_EXTRA_REQUESTS = 4;

    private static final int LONGEST_WAIT_INTERVALS = 2;
    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(1);

    private final TargetLimits limits;
    private final TargetOwnership ownership;
    private final TargetRegistry registry;
    private final LimitDivision division;
    private final LimitPeers peers;
    private final Predicate<Target> mayAccumulate;
    private final MonotonicClock clock;
    private final PendingAnswers<Optional<Decision>> pendingAnswers;
    private final Map<Target, LimitedRequests> requests = new HashMap<>();

    /**
     * What is known of the targets besides their limits.
     *
     * @param ownership the owners of the targets
     * @param registry the targets
     * @param mayAccumulate whether requests of this entry have not arrived at a target and may arrive together with another one
     */
    public record KnownTargets(TargetOwnership ownership, TargetRegistry registry, Predicate<Target> mayAccumulate) {

        public KnownTargets {
            Objects.requireNonNull(ownership, "ownership");
            Objects.requireNonNull(registry, "registry");
            Objects.requireNonNull(mayAccumulate, "mayAccumulate");
        }
    }

    /** The requests to one limited target. */
    private static final class LimitedRequests {
        private final Deque<Long> unownedSends = new ArrayDeque<>();
        private final Deque<Long> unansweredPermits = new ArrayDeque<>();
        private Optional<LimitBucket> bucket = Optional.empty();
        private Optional<Refusal> refusal = Optional.empty();

        private LimitBucket bucket(RequestRate rate, long now) {
            if (bucket.isEmpty()) {
                bucket = Optional.of(new LimitBucket(rate, now));
            }
            return bucket.get();
        }
    }

    private record Refusal(long at, Duration retryAfter) {

        /** Gets the time at which to ask again; a limit that has been raised since shortens the wait. */
        private long until(RequestRate rate) {
            long longest = LONGEST_WAIT_INTERVALS * rate.interval().toNanos();
            return at + Math.min(retryAfter.toNanos(), Math.max(longest, OWNER_RETRY_INTERVAL.toNanos()));
        }
    }

    /**
     * Creates an admission without pending requests.
     *
     * @param limits the limits that targets have named, not null
     * @param targets what is known of the targets otherwise, not null
     * @param division divides the requests that are sent without the owner, not null
     * @param peers sends requests to the other entries, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     */
    public LimitAdmission(
            TargetLimits limits,
            KnownTargets targets,
            LimitDivision division,
            LimitPeers peers,
            Timers timers,
            MonotonicClock clock) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.ownership = targets.ownership();
        this.registry = targets.registry();
        this.mayAccumulate = targets.mayAccumulate();
        this.division = Objects.requireNonNull(division, "division");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.pendingAnswers = new PendingAnswers<>(timers);
    }

    @Override
    public Cancellable admit(Target target, Consumer<Decision> callback) {
        Optional<RequestRate> rate = limits.limit(target);
        if (rate.isEmpty()) {
            callback.accept(Decision.UNLIMITED);
            return Cancellable.NOOP;
        }
        Duration wait = timeUntilAvailable(target);
        if (!wait.isZero()) {
            callback.accept(Decision.refused(wait));
            return Cancellable.NOOP;
        }
        if (isOwned(target)) {
            complete(target, Optional.of(takeAsOwner(target, rate.get())), callback);
            return Cancellable.NOOP;
        }
        long number = pendingAnswers.nextNumber();
        Optional<String> owner = ownership.holder(target.id()).filter(entry -> !entry.equals(ownership.self()));
        LimitReport known = limits.report(target).orElseThrow();
        if (owner.isEmpty() || !peers.requestCall(owner.get(), number, target, known)) {
            complete(target, Optional.empty(), callback);
            return Cancellable.NOOP;
        }
        return pendingAnswers.add(
                number, ANSWER_TIMEOUT, Optional.empty(), answer -> complete(target, answer, callback));
    }

    private boolean isOwned(Target target) {
        return ownership.fence(target.id()).isPresent();
    }

    private LimitedRequests requestsTo(Target target) {
        return requests.computeIfAbsent(target, missing -> new LimitedRequests());
    }

    private Decision takeAsOwner(Target target, RequestRate rate) {
        long now = clock.nanos();
        LimitedRequests requestsToTarget = requestsTo(target);
        LimitBucket bucket = requestsToTarget.bucket(rate, now);
        Duration wait = bucket.untilFree(rate, now);
        if (!wait.isZero()) {
            return Decision.refused(wait);
        }
        if (countUnanswered(target, requestsToTarget.unansweredPermits, now)
                >= rate.perSecond() * UNANSWERED_SECONDS + UNANSWERED_EXTRA_REQUESTS) {
            return Decision.refused(OWNER_RETRY_INTERVAL);
        }
        bucket.take(rate, now);
        requestsToTarget.unansweredPermits.addLast(now);
        return Decision.permitted(PERMISSION_TIME);
    }

    /** Counts the permitted requests since the target certainly ran; any entry may have heard from it. */
    private int countUnanswered(Target target, Deque<Long> permits, long now) {
        long answeredAt = now - limits.report(target).orElseThrow().age().toNanos();
        while (!permits.isEmpty()
                && (permits.peekFirst() - answeredAt <= 0 || permits.peekFirst() - target.confirmedAt() <= 0)) {
            permits.removeFirst();
        }
        return permits.size();
    }

    /** Completes a request with the owner's answer, or without it if there is none. */
    private void complete(Target target, Optional<Decision> answer, Consumer<Decision> callback) {
        Decision decision = answer.orElseGet(() -> takeWithoutOwner(target));
        if (!decision.admitted()) {
            onRefused(target, decision, answer.isPresent());
        }
        callback.accept(decision);
    }

    private void onRefused(Target target, Decision refusal, boolean byOwner) {
        Duration wait =
                refusal.retryAfter().compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : refusal.retryAfter();
        requestsTo(target).refusal = Optional.of(new Refusal(clock.nanos(), wait));
        limits.logReached(target, byOwner, wait);
    }

    private Decision takeWithoutOwner(Target target) {
        Optional<RequestRate> rate = limits.limit(target);
        if (rate.isEmpty()) {
            return Decision.UNLIMITED;
        }
        long now = clock.nanos();
        Deque<Long> sends = requestsTo(target).unownedSends;
        while (!sends.isEmpty() && now - sends.peekFirst() >= WINDOW.toNanos()) {
            sends.removeFirst();
        }
        int total = (int) (rate.get().perSecond() * UNOWNED_SECONDS + UNOWNED_EXTRA_REQUESTS);
        if (sends.size() >= division.share(target.id().value(), total)) {
            return Decision.refused(OWNER_RETRY_INTERVAL);
        }
        sends.addLast(now);
        return Decision.permitted(PERMISSION_TIME);
    }

    /**
     * Decides on a request of another entry.
     *
     * @param id the target, not null
     * @param startedAt the start of the target's incarnation
     * @param known what the other entry knows of the limit, not null
     * @return the decision, or empty if this entry does not own the target
     */
    public Optional<Decision> decideForPeer(TargetId id, long startedAt, LimitReport known) {
        Optional<Target> target = registry.find(id)
                .filter(found -> found.description().startedAt() == startedAt)
                .filter(this::isOwned);
        target.ifPresent(owned -> limits.onReport(owned, known));
        return target.map(owned ->
                limits.limit(owned).map(rate -> takeAsOwner(owned, rate)).orElse(Decision.UNLIMITED));
    }

    /**
     * Processes the answer of another entry; ignored if the request has timed out or been cancelled.
     *
     * @param number the number of the request
     * @param answer the decision, empty if the other entry does not own the target, not null
     */
    public void onAnswer(long number, Optional<Decision> answer) {
        pendingAnswers.complete(number, answer);
    }

    /**
     * Gets the time until a target may take another request of this entry.
     *
     * @param target the target, not null
     * @return the time, zero if it may take one now, not null
     */
    public Duration timeUntilAvailable(Target target) {
        if (isLimited(target) && mayAccumulate.test(target)) {
            return OWNER_RETRY_INTERVAL;
        }
        // Usually no target names a limit, and each placement asks for all targets.
        if (requests.isEmpty()) {
            return Duration.ZERO;
        }
        Optional<Refusal> refusal = Optional.ofNullable(requests.get(target)).flatMap(limited -> limited.refusal);
        if (refusal.isEmpty()) {
            return Duration.ZERO;
        }
        return limits.limit(target)
                .map(rate -> Duration.ofNanos(Math.max(0, refusal.get().until(rate) - clock.nanos())))
                .orElse(Duration.ZERO);
    }

    /**
     * Queries whether a target has named a limit.
     *
     * @param target the target, not null
     * @return true if it has
     */
    public boolean isLimited(Target target) {
        return limits.limit(target).isPresent();
    }

    @Override
    public void onLeft(Target target) {
        requests.remove(target);
    }
}
