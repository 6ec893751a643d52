package org.geraniumreach.link;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes randomized exponential back-off delays between connection attempts.
 *
 * <p>Invariant: each delay is uniformly distributed between zero and a bound, which doubles with each failure up to the
 * maximum, so that the peers of a restarted instance do not all reconnect at once. Not safe for use by several threads.
 */
final class Backoff {

    private final long minimumNanos;
    private final long maximumNanos;
    private final RandomGenerator random;
    private long boundNanos;

    Backoff(Duration minimum, Duration maximum, RandomGenerator random) {
        this.minimumNanos = minimum.toNanos();
        this.maximumNanos = maximum.toNanos();
        this.random = random;
        this.boundNanos = minimumNanos;
    }

    /**
     * Returns the next delay and doubles the bound.
     *
     * @return the delay in nanoseconds, at minimum 0
     */
    long nextNanos() {
        long delay = random.nextLong(boundNanos + 1);
        boundNanos = Math.min(maximumNanos, 2 * boundNanos);
        return delay;
    }

    void reset() {
        boundNanos = minimumNanos;
    }
}
