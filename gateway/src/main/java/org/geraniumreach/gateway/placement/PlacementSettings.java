package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * The thresholds and time windows of a {@link Placement}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param overloadWaitFraction the expected wait, as a fraction of the objective, above which a target is overloaded
 * @param loadElsewhereWaitFraction the expected wait at all targets that hold an adapter, as a fraction of the
 *         objective, above which the adapter is loaded at another target
 * @param prefillShare the fraction of a target's time for the prefill of one adapter above which it gets another home
 * @param prefillWindow the window over which prompt tokens sent to a target are summed
 * @param prefillWindowFraction the fraction of a target's prefill capacity in such a window that one entry may use
 * @param slotReleaseInterval the average time between two slots becoming free at a full target
 * @param reportLifetime how long a target's load report is used
 */
public record PlacementSettings(
        double overloadWaitFraction,
        double loadElsewhereWaitFraction,
        PrefillShare prefillShare,
        Duration prefillWindow,
        double prefillWindowFraction,
        Duration slotReleaseInterval,
        Duration reportLifetime) {

    /** Leaves enough of the objective for a load and a short prompt. */
    private static final double OVERLOAD_WAIT_FRACTION = 0.45;

    /** Below this a holder answers within or close to the objective, and a load elsewhere would not be faster. */
    private static final double LOAD_ELSEWHERE_WAIT_FRACTION = 0.95;

    /** Under light load a second home costs a slot and a load; under heavy load it prevents stalled streams. */
    private static final PrefillShare PREFILL_SHARE = new PrefillShare(0.25, 0.1, 0.15, 0.4);

    /** The longest pause within a stream that callers tolerate. */
    private static final Duration PREFILL_WINDOW = Duration.ofMillis(300);

    /** Prefill of more than a full window stalls streams for longer than the window, and other entries send as well. */
    private static final double PREFILL_WINDOW_FRACTION = 0.35;

    /** A batch of about 50 requests that each generate for 1.5 s frees a slot this often. */
    private static final Duration SLOT_RELEASE_INTERVAL = Duration.ofMillis(30);

    /** Answers arrive many times a second, so an older report means that nothing was sent since. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(1);

    /**
     * The fraction of a target's time for one adapter, which falls linearly as the prefill utilization of all targets
     * rises.
     *
     * @param lightLoadShare the fraction under light load
     * @param heavyLoadShare the fraction under heavy load
     * @param lightLoadLimit the utilization up to which load is light
     * @param heavyLoadLimit the utilization from which load is heavy
     */
    public record PrefillShare(
            double lightLoadShare, double heavyLoadShare, double lightLoadLimit, double heavyLoadLimit) {

        public PrefillShare {
            if (!(heavyLoadShare > 0 && lightLoadShare >= heavyLoadShare && heavyLoadLimit > lightLoadLimit)) {
                throw new IllegalArgumentException("prefill share must fall from light to heavy load: " + lightLoadShare
                        + ", " + heavyLoadShare + ", " + lightLoadLimit + ", " + heavyLoadLimit);
            }
        }

        double at(double utilization) {
            double position =
                    Math.min(1, Math.max(0, (utilization - lightLoadLimit) / (heavyLoadLimit - lightLoadLimit)));
            return lightLoadShare + position * (heavyLoadShare - lightLoadShare);
        }
    }

    public PlacementSettings {
        Objects.requireNonNull(prefillWindow, "prefillWindow");
        Objects.requireNonNull(slotReleaseInterval, "slotReleaseInterval");
        Objects.requireNonNull(reportLifetime, "reportLifetime");
        if (!(overloadWaitFraction > 0 && loadElsewhereWaitFraction >= overloadWaitFraction)) {
            throw new IllegalArgumentException("wait fractions must be above 0 and rising: " + overloadWaitFraction
                    + ", " + loadElsewhereWaitFraction);
        }
        if (!(prefillWindowFraction > 0 && prefillWindowFraction <= 1)) {
            throw new IllegalArgumentException(
                    "prefillWindowFraction must be above 0 and at most 1: " + prefillWindowFraction);
        }
    }

    /**
     * Obtains the default settings.
     *
     * @return the settings, not null
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                OVERLOAD_WAIT_FRACTION,
                LOAD_ELSEWHERE_WAIT_FRACTION,
                PREFILL_SHARE,
                PREFILL_WINDOW,
                PREFILL_WINDOW_FRACTION,
                SLOT_RELEASE_INTERVAL,
                REPORT_LIFETIME);
    }
}
