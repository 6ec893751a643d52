package org.geraniumreach.standins.http;

import java.util.concurrent.TimeUnit;

/**
 * A limit of calls a second, with a quarter of a second's calls at once.
 *
 * <p>Invariant: over any time, no more than the rate times that time plus the burst are let through. Safe for use by
 * several threads.
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
     * Makes a limit.
     *
     * @param perSecond the rate, 0 for none
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
     * Takes a call if the rate allows it.
     *
     * @return false if the call is above the rate
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
