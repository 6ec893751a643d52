package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.geraniumreach.model.MonotonicClock;

/**
 * Decides whether requests to one service may be sent once more by this entry.
 *
 * <p>Intended for up to a few hundred entries that receive similar numbers of requests, each with bursts in which every request is rejected
 * once, and for entries that join, leave and restart.
 *
 * <p>Invariants: the retries that may arrive within a window, whenever they were sent, are at most {@link #GIVEN_FRACTION} of the ratio times the
 * requests that arrived at this entry in the window before its last retry, and its share of the fixed retries on top. A share that has grown
 * counts only after it has been known for a window, since the entries that have left may have used theirs. The first window has no share, since
 * the process's former incarnation may have used it. Confined to the event loop.
 */
final class ServiceRetryBudget {

    /**
     * Fraction of the allowed retries that is given out. The rest covers windows that contain the retries after a rise of the rate but only
     * three quarters of the requests that allowed them, and entries that see the rate rise and fall at different times.
     */
    static final double GIVEN_FRACTION = 0.75;

    /** Other entries know of an entry's start within this time, and have reduced their shares by then. */
    static final Duration DISCOVERY_TIME = Duration.ofSeconds(2);

    /** A tenth of the weight goes to the last answer, so that a single slow one hardly counts. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final double ratio;
    private final IntSupplier share;
    private final long shareUsableFrom;
    private final MonotonicClock clock;
    private final SlidingWindow window;
    private Optional<Double> answerNanos = Optional.empty();
    private int unresolvedRetries;

    /**
     * Creates a budget that has granted nothing.
     *
     * @param limits the limits for all entries together, not null
     * @param share this entry's share of the fixed retries as the entries are known now, not null
     * @param processStartedAt the start of the process, in nanoseconds of the clock
     * @param clock the clock, not null
     */
    ServiceRetryBudget(RepeatLimits limits, IntSupplier share, long processStartedAt, MonotonicClock clock) {
        this.ratio = limits.ratio() * GIVEN_FRACTION;
        this.share = Objects.requireNonNull(share, "share");
        this.shareUsableFrom =
                processStartedAt + limits.window().plus(DISCOVERY_TIME).toNanos();
        this.clock = Objects.requireNonNull(clock, "clock");
        this.window = new SlidingWindow(limits.window(), processStartedAt);
    }

    /** Computes the fixed retries that are divided among all entries. */
    static int dividedExtra(RepeatLimits limits) {
        return (int) (limits.extra() * GIVEN_FRACTION);
    }

    void recordRequest(long arrivedAt) {
        long now = clock.nanos();
        window.addRequest(arrivedAt, now);
        if (!window.hasCurrentShare(now)) {
            window.addShare(share.getAsInt(), now);
        }
    }

    /** Counts retries that cannot arrive later than now. */
    void addRetries(int count) {
        window.addRetries(count, clock.nanos());
    }

    /** Counts retries that may still arrive, or takes them back if the count is negative. */
    void addUnresolvedRetries(int count) {
        unresolvedRetries += count;
    }

    /** Records the time from sending a request to the first part of its answer. */
    void recordAnswer(Duration time) {
        double nanos = time.toNanos();
        answerNanos = Optional.of(
                answerNanos.map(mean -> mean + (nanos - mean) * ANSWER_WEIGHT).orElse(nanos));
    }

    /**
     * Decides on a retry without recording it.
     *
     * @param remaining the remaining time of the request, not null
     * @param estimate the time that the target is expected to need, empty for the mean time of the service's answers, not null
     * @return the decision, not null
     */
    RetryDecision decide(Duration remaining, Optional<Duration> estimate) {
        long now = clock.nanos();
        window.addShare(share.getAsInt(), now);
        int usableShare = now >= shareUsableFrom ? window.smallestShare(now) : 0;
        Duration needed = estimate.orElseGet(
                () -> Duration.ofNanos(answerNanos.map(Double::longValue).orElse(0L)));
        int requests = window.requests(now);
        int retries = window.retries(now);
        return new RetryDecision(
                result(requests, retries + unresolvedRetries, usableShare, remaining.compareTo(needed) > 0),
                requests,
                retries,
                unresolvedRetries,
                usableShare,
                remaining,
                needed);
    }

    private RetryDecision.Result result(int requests, int retries, int usableShare, boolean hasTime) {
        if (!hasTime) {
            return RetryDecision.Result.NO_TIME;
        }
        return retries + 1 <= ratio * requests + usableShare
                ? RetryDecision.Result.GRANTED
                : RetryDecision.Result.NO_BUDGET;
    }
}
