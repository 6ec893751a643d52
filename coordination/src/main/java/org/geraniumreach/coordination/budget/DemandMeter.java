package org.geraniumreach.coordination.budget;

/**
 * The tokens a second that callers ask for, lately.
 *
 * <p>A running mean that forgets with a time constant of {@value #SECONDS} seconds. Not safe for use by several threads.
 */
final class DemandMeter {

    private static final double SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private long updatedAt;

    DemandMeter(long now) {
        this.updatedAt = now;
    }

    void add(long tokens, long now) {
        perSecond = decayed(now) + tokens / SECONDS;
        updatedAt = now;
    }

    long perSecond(long now) {
        return (long) decayed(now);
    }

    private double decayed(long now) {
        return perSecond * Math.exp(-Math.max(0, now - updatedAt) / (SECONDS * NANOS_PER_SECOND));
    }
}
