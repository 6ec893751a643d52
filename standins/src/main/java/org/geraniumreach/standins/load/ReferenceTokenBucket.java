package org.geraniumreach.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * What one central bucket for an account would have let through, by which refusals are judged.
 *
 * <p>Invariant: holds at most the burst. Safe for use by several threads, under its own lock.
 */
final class ReferenceTokenBucket {

    private final double tokensPerSecond;
    private final double burst;
    private double available;
    private long lastNanos;
    private int admitted;

    ReferenceTokenBucket(double tokensPerSecond, double burst, long nowNanos) {
        this.tokensPerSecond = tokensPerSecond;
        this.burst = burst;
        this.available = burst;
        this.lastNanos = nowNanos;
    }

    boolean isLimited() {
        return tokensPerSecond > 0;
    }

    /**
     * Lets a request through if the bucket holds what it may use at most, and takes what it will use.
     *
     * @param most the most tokens that the request may use
     * @param used the tokens that it will use
     * @param nowNanos the time
     */
    synchronized void admitIfAvailable(double most, double used, long nowNanos) {
        available = Math.min(burst, available + tokensPerSecond * (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1));
        lastNanos = nowNanos;
        if (!isLimited()) {
            admitted++;
        } else if (available >= most) {
            available -= used;
            admitted++;
        }
    }

    synchronized int admitted() {
        return admitted;
    }
}
