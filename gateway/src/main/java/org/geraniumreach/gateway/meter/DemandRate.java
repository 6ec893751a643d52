package org.geraniumreach.gateway.meter;

/**
 * The units a second that were asked for lately.
 *
 * <p>Confined to the event loop.
 */
public final class DemandRate {

    /** An entry sees one or two requests a second of a small account; four seconds make five of them. */
    private static final double TIME_CONSTANT_NANOS = 4e9;

    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private long updatedAt;

    /**
     * Makes a rate of nothing.
     *
     * @param now the time
     */
    public DemandRate(long now) {
        this.updatedAt = now;
    }

    /**
     * Counts what was asked for.
     *
     * @param units how much
     * @param now the time
     */
    public void asked(double units, long now) {
        perSecond = at(now) + units * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
        updatedAt = now;
    }

    /**
     * Gets the rate without the last units that were asked for.
     *
     * @param units how much was asked for last
     * @param now the time
     * @return units a second, not below zero
     */
    public double without(double units, long now) {
        return Math.max(0, at(now) - units * NANOS_PER_SECOND / TIME_CONSTANT_NANOS);
    }

    /**
     * Gets the rate.
     *
     * @param now the time
     * @return units a second
     */
    public double at(long now) {
        return perSecond * Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOS);
    }
}
