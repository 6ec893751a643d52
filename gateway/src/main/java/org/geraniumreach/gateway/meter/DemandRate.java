package org.geraniumreach.gateway.meter;

/**
 * Exponentially decaying average of the units requested per second.
 *
 * <p>Confined to the event loop.
 */
public final class DemandRate {

    /** Covers about five requests of a small account, which sends an entry one or two per second. */
    private static final double TIME_CONSTANT_NANOS = 4e9;

    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private long updatedAt;

    /**
     * Creates a rate of zero.
     *
     * @param now the current time, in nanoseconds
     */
    public DemandRate(long now) {
        this.updatedAt = now;
    }

    /**
     * Adds requested units.
     *
     * @param units the number of units
     * @param now the current time, in nanoseconds
     */
    public void add(double units, long now) {
        perSecond = rateAt(now) + units * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
        updatedAt = now;
    }

    /**
     * Returns the rate without the units added last.
     *
     * @param units the number of units added last
     * @param now the current time, in nanoseconds
     * @return units per second, not negative
     */
    public double rateExcluding(double units, long now) {
        return Math.max(0, rateAt(now) - units * NANOS_PER_SECOND / TIME_CONSTANT_NANOS);
    }

    /**
     * Returns the rate.
     *
     * @param now the current time, in nanoseconds
     * @return units per second
     */
    public double rateAt(long now) {
        return perSecond * Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOS);
    }
}
