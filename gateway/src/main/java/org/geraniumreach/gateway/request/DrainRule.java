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
    private static final Duration TAKES_ALL = Duration.ofMillis(2_500);

    /** To write the last answer and end the process. */
    private static final Duration MARGIN = Duration.ofMillis(200);

    private final long begunAt;
    private final Duration takesAll;
    private final Duration length;

    private DrainRule(long begunAt, Duration takesAll, Duration length) {
        this.begunAt = begunAt;
        this.takesAll = takesAll;
        this.length = length;
    }

    /**
     * Makes the rule of a drain.
     *
     * @param begunAt when it began
     * @param length after what time the process ends, not null
     * @return the rule, not null
     */
    static DrainRule of(long begunAt, Duration length) {
        return new DrainRule(begunAt, TAKES_ALL, length);
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
    boolean takes(Duration longest, long now) {
        Duration passed = Duration.ofNanos(now - begunAt);
        if (passed.compareTo(takesAll) < 0) {
            return true;
        }
        return passed.plus(longest).plus(MARGIN).compareTo(length) <= 0;
    }
}
