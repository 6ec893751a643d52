package org.geraniumreach.link;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Chooses how long to wait before the next connection.
 *
 * <p>Invariant: each wait is drawn evenly from zero to a bound, which doubles with each failure up to the greatest, so that
 * many peers of a restarted instance do not all return at once. Not safe for use by several threads.
 */
final class Backoff {

    private final long minimumNanos;
    private final long maximumNanos;
    private final RandomGenerator random;
    private long boundNanos;

    Backoff(Duration least, Duration greatest, RandomGenerator random) {
        this.minimumNanos = least.toNanos();
        this.maximumNanos = greatest.toNanos();
        this.random = random;
        this.boundNanos = minimumNanos;
    }

    /**
     * Draws the next wait.
     *
     * @return the wait in nanoseconds
     */
    long nextNanos() {
        long wait = random.nextLong(boundNanos + 1);
        boundNanos = Math.min(maximumNanos, 2 * boundNanos);
        return wait;
    }

    void reset() {
        boundNanos = minimumNanos;
    }
}
