package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * Decides which requests a draining entry still sends to targets.
 *
 * <p>Callers keep sending requests for some seconds after an entry has reported that it is not ready. A request that
 * is still running when the process exits is cut off, and its caller cannot tell whether it ran. As long as a refused caller may reach the same
 * entry again, only requests that are expected to end before the exit are therefore sent; afterwards only those that end by then in
 * any case, since a refusal costs their callers next to nothing. The others are refused at once, so that their callers use another
 * entry. Immutable and safe for use by several threads.
 */
final class DrainRule {

    /** The load balancer checks health once a second and needs two results; by then nearly all callers reach other entries. */
    private static final Duration NOTICE_TIME = Duration.ofMillis(2_500);

    /** The time to write the last answer and end the process. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(200);

    private final long startedAt;
    private final Duration drainTime;
    private final Duration noticeTime;

    private DrainRule(long startedAt, Duration drainTime, Duration noticeTime) {
        this.startedAt = startedAt;
        this.drainTime = drainTime;
        this.noticeTime = noticeTime;
    }

    /**
     * Creates the rule of a drain.
     *
     * @param startedAt the start of the drain, in nanoseconds
     * @param drainTime the time from the start until the process exits, not null
     * @return the rule, not null
     */
    static DrainRule of(long startedAt, Duration drainTime) {
        return new DrainRule(startedAt, drainTime, NOTICE_TIME);
    }

    /**
     * Creates the rule of an entry that sends no more requests, at the end of a drain.
     *
     * @param now the current time, in nanoseconds
     * @return the rule, not null
     */
    static DrainRule closed(long now) {
        return new DrainRule(now, Duration.ZERO, Duration.ZERO);
    }

    /**
     * Queries whether a request may be sent.
     *
     * @param expectedTime the time that the request is expected to take from now, not null
     * @param limit the time from now after which the request ends in any case, not null
     * @param now the current time, in nanoseconds
     * @return true if it ends before the exit, by expectation or by its limit
     */
    boolean admits(Duration expectedTime, Duration limit, long now) {
        Duration longest = untilNoticed(now).isZero() ? limit : expectedTime;
        return elapsed(now).plus(longest).plus(SHUTDOWN_MARGIN).compareTo(drainTime) <= 0;
    }

    /**
     * Gets the time until callers reach other entries, zero if they do.
     *
     * @param now the current time, in nanoseconds
     * @return the time, not negative, not null
     */
    Duration untilNoticed(long now) {
        return notNegative(noticeTime.minus(elapsed(now)));
    }

    /**
     * Gets the time until the process exits.
     *
     * @param now the current time, in nanoseconds
     * @return the time, not negative, not null
     */
    Duration untilExit(long now) {
        return notNegative(drainTime.minus(elapsed(now)));
    }

    private static Duration notNegative(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private Duration elapsed(long now) {
        return Duration.ofNanos(now - startedAt);
    }
}
