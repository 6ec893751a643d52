package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * Decides which requests a draining entry still admits.
 *
 * <p>Callers keep sending requests for some seconds after an entry has reported that it is not ready. A request that
 * is still running when the process exits is cut off, and its caller cannot tell whether it ran. Late in a drain only
 * requests that must end before the exit are therefore admitted, and the others are refused at once. Immutable and
 * safe for use by several threads.
 */
final class DrainRule {

    /**
     * The load balancer checks health once a second and needs two results; by then nearly all callers have moved on.
     */
    private static final Duration UNRESTRICTED_PERIOD = Duration.ofMillis(2_500);

    /** The time to write the last answer and end the process. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(200);

    private final long startedAt;
    private final Duration unrestrictedPeriod;
    private final Duration drainTime;

    private DrainRule(long startedAt, Duration unrestrictedPeriod, Duration drainTime) {
        this.startedAt = startedAt;
        this.unrestrictedPeriod = unrestrictedPeriod;
        this.drainTime = drainTime;
    }

    /**
     * Creates the rule of a drain.
     *
     * @param startedAt the start of the drain, in nanoseconds
     * @param drainTime the time from the start until the process exits, not null
     * @return the rule, not null
     */
    static DrainRule of(long startedAt, Duration drainTime) {
        return new DrainRule(startedAt, UNRESTRICTED_PERIOD, drainTime);
    }

    /**
     * Creates the rule of an entry that admits no more requests.
     *
     * @param startedAt the start of the drain, in nanoseconds
     * @return the rule, not null
     */
    static DrainRule closed(long startedAt) {
        return new DrainRule(startedAt, Duration.ZERO, Duration.ZERO);
    }

    /**
     * Queries whether a request is admitted.
     *
     * @param maximumTime the maximum time that the request may take, not null
     * @param now the current time, in nanoseconds
     * @return true if it is admitted
     */
    boolean admits(Duration maximumTime, long now) {
        Duration elapsed = Duration.ofNanos(now - startedAt);
        if (elapsed.compareTo(unrestrictedPeriod) < 0) {
            return true;
        }
        return elapsed.plus(maximumTime).plus(SHUTDOWN_MARGIN).compareTo(drainTime) <= 0;
    }
}
