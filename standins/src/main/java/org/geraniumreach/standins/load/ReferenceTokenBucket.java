package org.geraniumreach.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * A central token bucket of an account, the reference by which wrongful refusals are counted.
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
     * Admits a request if the bucket holds the maximum number of tokens that it may use, and takes the number that it
     * will use.
     *
     * @param maximumTokens the maximum number of tokens that the request may use
     * @param usedTokens the number of tokens that the request will use
     * @param nowNanos the current {@link System#nanoTime}
     */
    synchronized void admitIfAvailable(double maximumTokens, double usedTokens, long nowNanos) {
        available = Math.min(burst, available + tokensPerSecond * (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1));
        lastNanos = nowNanos;
        if (!isLimited()) {
            admitted++;
        } else if (available >= maximumTokens) {
            available -= usedTokens;
            admitted++;
        }
    }

    synchronized int admitted() {
        return admitted;
    }
}
