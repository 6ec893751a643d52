package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long to wait before a further try: anywhere between nothing and a bound that doubles with each try.
 *
 * <p>The whole range is drawn from, since callers that failed together would otherwise come back together. Immutable and
 * safe for use by several threads if the random source is.
 *
 * @param first the bound before the first retry
 * @param maximum the bound that is not exceeded
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
     * @param failures the tries that have failed, at least 1
     * @param random the source of chance, not null
     * @return the delay, not null
     */
    public Duration delay(int failures, RandomGenerator random) {
        if (failures < 1) {
            throw new IllegalArgumentException("failures below 1: " + failures);
        }
        long doubled = first.toNanos() << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long bound = Math.min(maximum.toNanos(), doubled);
        return Duration.ofNanos(random.nextLong(bound + 1));
    }
}
