package org.geraniumreach.serving.retry;

import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * A token bucket that limits retries in proportion to successful requests.
 *
 * <p>When a failure domain is lost, every request there fails immediately, and as many retries would overload the
 * remaining targets. Invariant: over any period, the number of retries is at most {@code ratio} times the successes,
 * plus {@code floorPerSecond} times the period in seconds, plus the bucket's capacity. Safe for use by several threads,
 * under its own lock.
 */
public final class RetryBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final double ratio;
    private final double floorPerSecond;
    private final double capacity;
    private double tokens;
    private long refilledNanos;

    private RetryBudget(MonotonicClock clock, double ratio, double floorPerSecond, double capacity) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ratio = ratio;
        this.floorPerSecond = floorPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledNanos = clock.nanos();
    }

    /**
     * Creates a budget with a full bucket.
     *
     * @param clock the clock, not null
     * @param ratio the retries earned by each success, from 0 to 1
     * @param floorPerSecond the retries earned per second regardless of successes, not negative
     * @param capacity the maximum number of unused retries, at least 1
     * @return the budget, not null
     */
    public static RetryBudget create(MonotonicClock clock, double ratio, double floorPerSecond, double capacity) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio outside 0 to 1: " + ratio);
        }
        if (!(floorPerSecond >= 0)) {
            throw new IllegalArgumentException("floorPerSecond is negative: " + floorPerSecond);
        }
        if (!(capacity >= 1)) {
            throw new IllegalArgumentException("size below 1: " + capacity);
        }
        return new RetryBudget(clock, ratio, floorPerSecond, capacity);
    }

    /** Called when a request has succeeded. */
    public synchronized void onSuccess() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    /**
     * Takes a retry from the budget, if one is available.
     *
     * @return true if the request may be retried
     */
    public synchronized boolean tryAcquire() {
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
