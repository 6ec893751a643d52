package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * Which requests an entry still takes that is about to end.
 *
 * <p>Intended for callers that keep coming for some seconds after an entry has reported that it is not ready. A request that still runs
 * at the end is cut, and its caller cannot tell whether it ran; so late in a drain only requests are taken that must be over
 * by the end, and the others are rejected at once. Immutable and safe for use by several threads.
 */
final class DrainRule {

    /** The balancer asks once a second and needs two answers; within this nearly all callers have moved on. */
    private static final Duration UNRESTRICTED_PERIOD = Duration.ofMillis(2_500);

    /** To write the last answer and end the process. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofMillis(200);

    private final long startedAt;
    private final Duration unrestrictedPeriod;
    private final Duration drainTime;

    private DrainRule(long begunAt, Duration takesAll, Duration length) {
        this.startedAt = begunAt;
        this.unrestrictedPeriod = takesAll;
        this.drainTime = length;
    }

    /**
     * Makes the rule of a drain.
     *
     * @param begunAt when it began
     * @param length after what time the process ends, not null
     * @return the rule, not null
     */
    static DrainRule of(long begunAt, Duration length) {
        return new DrainRule(begunAt, UNRESTRICTED_PERIOD, length);
    }

    /**
     * Makes the rule of an entry that takes nothing more.
     *
     * @param begunAt since when
     * @return the rule, not null
     */
    static DrainRule closed(long begunAt) {
        return new DrainRule(begunAt, Duration.ZERO, Duration.ZERO);
    }

    /**
     * Decides on a request that has come.
     *
     * @param longest the longest time that it may take, not null
     * @param now the time
     * @return true if it is taken
     */
    boolean admits(Duration longest, long now) {
        Duration passed = Duration.ofNanos(now - startedAt);
        if (passed.compareTo(unrestrictedPeriod) < 0) {
            return true;
        }
        return passed.plus(longest).plus(SHUTDOWN_MARGIN).compareTo(drainTime) <= 0;
    }
}
