package org.geraniumreach.gateway.port;

/**
 * How many times as long as usual work takes at a target, as the target reports it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param factor the time that work takes divided by the time that it usually takes, above 0 and at most {@link #MAXIMUM}
 */
public record Slowdown(double factor) {

    /** A target that is slower than this is not usable, so a greater figure is a fault. */
    public static final double MAXIMUM = 100;

    /** Work that takes as long as usual. */
    public static final Slowdown NONE = new Slowdown(1);

    public Slowdown {
        if (!(factor > 0) || !(factor <= MAXIMUM)) {
            throw new IllegalArgumentException("slowdown not above 0 and at most " + MAXIMUM + ": " + factor);
        }
    }
}
