package org.geraniumreach.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * What one central bucket for an account would have let through, by which refusals are judged.
 *
 * <p>Invariant: holds at most the burst. Safe for use by several threads, under its own lock.
 */
final class IdealBucket {

    private final double tokensPerSecond;
    private final double burst;
    private double available;
    private long lastNanos;

    IdealBucket(double tokensPerSecond, double burst, long nowNanos) {
        this.tokensPerSecond = tokensPerSecond;
        this.burst = burst;
        this.available = burst;
        this.lastNanos = nowNanos;
    }

    boolean isLimited() {
        return tokensPerSecond > 0;
    }

    /**
     * Takes a request's tokens if the bucket holds them.
     *
     * @param tokens the most that the request may use
     * @param nowNanos the time
     * @return true if the bucket lets the request through
     */
    synchronized boolean tryTake(double tokens, long nowNanos) {
        if (!isLimited()) {
            return true;
        }
        available = Math.min(burst, available + tokensPerSecond * (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1));
        lastNanos = nowNanos;
        if (available < tokens) {
            return false;
        }
        available -= tokens;
        return true;
    }

    synchronized void giveBack(double tokens) {
        available = Math.min(burst, available + tokens);
    }
}
