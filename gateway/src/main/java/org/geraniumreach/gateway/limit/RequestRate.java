package org.geraniumreach.gateway.limit;

import java.time.Duration;

/**
 * A number of requests per second.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param perSecond the requests per second, finite and not negative; fractions are allowed
 */
public record RequestRate(double perSecond) {

    /** A slower rate would leave a target without any request that could show that the limit has ended. */
    private static final double MINIMUM_PER_SECOND = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    public RequestRate {
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("request rate not finite or below zero: " + perSecond);
        }
    }

    /**
     * Gets the time between two requests that are spaced evenly.
     *
     * @return the interval, at most 20 s, not null
     */
    public Duration interval() {
        return Duration.ofNanos((long) (NANOS_PER_SECOND / Math.max(MINIMUM_PER_SECOND, perSecond)));
    }
}
