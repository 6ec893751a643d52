package org.geraniumreach.gateway.speed;

/**
 * The speed of a target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param relativeRate the target's usual prefill rate divided by the mean of its service, above 0
 * @param slowdown the time that work takes now divided by the time that it usually takes, above 0
 * @param known whether the speed comes from observations; if not, both figures are 1
 */
public record TargetSpeed(double relativeRate, double slowdown, boolean known) {

    /** The speed of a target of which nothing is known. */
    public static final TargetSpeed UNKNOWN = new TargetSpeed(1, 1, false);

    public TargetSpeed {
        if (!(relativeRate > 0) || !(slowdown > 0)) {
            throw new IllegalArgumentException("speed not above 0: " + relativeRate + ", " + slowdown);
        }
    }

    /**
     * Gets the rate at the moment, relative to the usual rate of the service.
     *
     * @return the rate, above 0
     */
    public double currentRate() {
        return relativeRate / slowdown;
    }
}
