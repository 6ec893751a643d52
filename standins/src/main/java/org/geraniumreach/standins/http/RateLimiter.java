package org.geraniumreach.standins.http;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that limits calls per second, with a burst of a quarter of a second's calls, at least one.
 *
 * <p>Invariant: over any period, at most the rate times the period plus the burst are accepted. Safe for use by several
 * threads.
 */
public final class RateLimiter {

    private static final double BURST_SECONDS = 0.25;

    private final double perSecond;
    private final double burst;
    private double available;
    private long lastNanos;
    private long accepted;
    private long refused;

    /**
     * Creates a rate limiter.
     *
     * @param perSecond the calls allowed per second, 0 for no limit
     */
    public RateLimiter(double perSecond) {
        if (perSecond < 0) {
            throw new IllegalArgumentException("negative rate: " + perSecond);
        }
        this.perSecond = perSecond;
        this.burst = Math.max(1, perSecond * BURST_SECONDS);
        this.available = burst;
        this.lastNanos = System.nanoTime();
    }

    /**
     * Accepts a call if the rate allows it.
     *
     * @return false if the call exceeds the rate
     */
    public synchronized boolean tryAcquire() {
        long now = System.nanoTime();
        available = Math.min(burst, available + perSecond * (now - lastNanos) / TimeUnit.SECONDS.toNanos(1));
        lastNanos = now;
        if (perSecond > 0 && available < 1) {
            refused++;
            return false;
        }
        available--;
        accepted++;
        return true;
    }

    public synchronized long accepted() {
        return accepted;
    }

    public synchronized long refused() {
        return refused;
    }
}
