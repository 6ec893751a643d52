package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with full jitter: a random delay between zero and a bound that doubles with each failure.
 *
 * <p>The delay is drawn from the whole range, since callers that failed together would otherwise retry together.
 * Immutable and safe for use by several threads if the random source is.
 *
 * @param first the upper bound of the delay before the first retry
 * @param maximum the maximum of the bound
 */
public record Backoff(Duration first, Duration maximum) {

    private static final int MAXIMUM_DOUBLINGS = 20;

    public Backoff {
        if (first.isNegative() || maximum.compareTo(first) < 0) {
            throw new IllegalArgumentException("not a range of delays: " + first + " to " + maximum);
        }
    }

    /**
     * Draws a delay.
     *
     * @param failures the number of failed attempts, at least 1
     * @param random the random source, not null
     * @return the delay, not null
     */
    public Duration delay(int failures, RandomGenerator random) {
        if (failures < 1) {
            throw new IllegalArgumentException("failures below 1: " + failures);
        }
        long doubledNanos = first.toNanos() << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long boundNanos = Math.min(maximum.toNanos(), doubledNanos);
        return Duration.ofNanos(random.nextLong(boundNanos + 1));
    }
}
