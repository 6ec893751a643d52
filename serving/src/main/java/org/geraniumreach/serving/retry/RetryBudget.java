package org.geraniumreach.serving.retry;

import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * Bounds retries by what succeeds.
 *
 * <p>When a failure domain is lost, each request there fails at once, and as many retries again would overrun what is left.
 * Invariant: over any span, retries are at most {@code ratio} times the successes, plus {@code floorPerSecond} times the
 * span, plus the bucket's size. Safe for use by several threads, under its own lock.
 */
public final class RetryBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final double ratio;
    private final double floorPerSecond;
    private final double capacity;
    private double tokens;
    private long refilledNanos;

    private RetryBudget(MonotonicClock clock, double ratio, double floorPerSecond, double size) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ratio = ratio;
        this.floorPerSecond = floorPerSecond;
        this.capacity = size;
        this.tokens = size;
        this.refilledNanos = clock.nanos();
    }

    /**
     * Makes a budget, full.
     *
     * @param clock the clock, not null
     * @param ratio the retries that a success earns, from 0 to 1
     * @param floorPerSecond the retries earned a second whatever succeeds, not negative
     * @param size the most retries saved up, at least 1
     * @return the budget, not null
     */
    public static RetryBudget create(MonotonicClock clock, double ratio, double floorPerSecond, double size) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio outside 0 to 1: " + ratio);
        }
        if (!(floorPerSecond >= 0)) {
            throw new IllegalArgumentException("floorPerSecond is negative: " + floorPerSecond);
        }
        if (!(size >= 1)) {
            throw new IllegalArgumentException("size below 1: " + size);
        }
        return new RetryBudget(clock, ratio, floorPerSecond, size);
    }

    /** Tells that a request succeeded. */
    public synchronized void succeeded() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    /**
     * Asks for a retry and, if granted, spends it.
     *
     * @return true if the request may be tried again
     */
    public synchronized boolean tryRetry() {
        long now = clock.nanos();
        tokens = Math.min(capacity, tokens + floorPerSecond * (now - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
