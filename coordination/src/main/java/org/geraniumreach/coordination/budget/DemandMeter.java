package org.geraniumreach.coordination.budget;

/**
 * Measures the recent demand of callers in tokens per second.
 *
 * <p>The value is a moving average that decays exponentially with a time constant of {@value #TIME_CONSTANT_SECONDS}
 * seconds. Not safe for use by several threads.
 */
final class DemandMeter {

    private static final double TIME_CONSTANT_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokensPerSecond;
    private long updatedAt;

    DemandMeter(long now) {
        this.updatedAt = now;
    }

    void add(long tokens, long now) {
        tokensPerSecond = decayed(now) + tokens / TIME_CONSTANT_SECONDS;
        updatedAt = now;
    }

    long tokensPerSecond(long now) {
        return (long) decayed(now);
    }

    private double decayed(long now) {
        return tokensPerSecond * Math.exp(-Math.max(0, now - updatedAt) / (TIME_CONSTANT_SECONDS * NANOS_PER_SECOND));
    }
}
