package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Arrays;

import org.geraniumreach.gateway.priority.RequestPriority;

/**
 * Times after which rejected requests may come back.
 *
 * <p>Intended for callers of which many are rejected within a second. Invariant: requests of one urgency that are rejected one after the other
 * get rising times, spaced by the prefill time of each, unless {@link #LONGEST} is reached. Confined to the event loop.
 */
final class RetryTimes {

    /** Covers the link delays of a rejection and the return. */
    static final Duration SHORTEST = Duration.ofMillis(50);

    /** Several times the longest objective; a caller that waits for longer finds a different load. */
    static final Duration LONGEST = Duration.ofSeconds(10);

    /** Keeps returns apart whose prefill time is short or unknown. */
    private static final Duration SMALLEST_SPACING = Duration.ofMillis(2);

    private final long[] nextReturnAt = new long[RequestPriority.LEAST_URGENT + 1];

    RetryTimes() {
        Arrays.fill(nextReturnAt, Long.MIN_VALUE);
    }

    /**
     * Assigns the next time of an urgency.
     *
     * @param urgency the urgency
     * @param readyAt when capacity for the urgency is expected, in nanoseconds
     * @param spacing the time by which the next return is later
     * @param now the current time, in nanoseconds
     * @return the time to wait
     */
    Duration assign(int urgency, long readyAt, Duration spacing, long now) {
        long latest = now + LONGEST.toNanos();
        long earliest = Math.max(now + SHORTEST.toNanos(), Math.max(readyAt, nextReturnAt[urgency]));
        long returnAt = Math.min(latest, earliest);
        nextReturnAt[urgency] = returnAt + Math.max(SMALLEST_SPACING.toNanos(), spacing.toNanos());
        return Duration.ofNanos(returnAt - now);
    }
}
