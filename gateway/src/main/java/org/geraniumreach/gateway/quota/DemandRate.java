package org.geraniumreach.gateway.quota;

/**
 * The units a second that were asked for lately.
 *
 * <p>Confined to the event loop.
 */
final class DemandRate {

    /** An entry sees one or two requests a second of a small account; four seconds make five of them. */
    private static final double TIME_CONSTANT_NANOS = 4e9;

    private static final double NANOS = 1e9;

    private double perSecond;
    private long updatedAt;

    DemandRate(long now) {
        this.updatedAt = now;
    }

    void asked(double units, long now) {
        perSecond = at(now) + units * NANOS / TIME_CONSTANT_NANOS;
        updatedAt = now;
    }

    double at(long now) {
        return perSecond * Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOS);
    }
}
