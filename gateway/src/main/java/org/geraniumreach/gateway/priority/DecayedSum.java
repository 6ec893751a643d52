package org.geraniumreach.gateway.priority;

import java.time.Duration;

/**
 * A sum whose summands lose half of their value in each {@link #HALF_LIFE}.
 *
 * <p>Confined to the event loop.
 */
final class DecayedSum {

    /** Long enough to span several requests of an account, short enough to forget a burst soon after it. */
    static final Duration HALF_LIFE = Duration.ofSeconds(2);

    private double value;
    private long updatedAt;

    DecayedSum(long now) {
        this.updatedAt = now;
    }

    void add(double summand, long now) {
        value = at(now) + summand;
        updatedAt = now;
    }

    double at(long now) {
        return value * Math.pow(2, -Math.max(0, now - updatedAt) / (double) HALF_LIFE.toNanos());
    }

    long updatedAt() {
        return updatedAt;
    }
}
