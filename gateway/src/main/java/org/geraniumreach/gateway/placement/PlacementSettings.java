package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * What a {@link Placement} goes by.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param overloadWaitFraction the part of its objective for which a request is expected to wait beyond which another target is preferred
 * @param loadElsewhereWaitFraction the part of its objective for which it is expected to wait at all targets that hold its adapter
 *         beyond which another one loads it
 * @param prefillShare the part of a target's time in which it may read prompts of one adapter before another target shares them
 * @param prefillWindow within which prompts sent to a target are counted
 * @param prefillWindowFraction the most that one entry may send of what a target reads in such a window
 * @param slotReleaseInterval how long a request keeps a slot, as far as a waiting request is concerned
 * @param reportLifetime for how long a target's own word of its load counts
 */
public record PlacementSettings(
        double overloadWaitFraction,
        double loadElsewhereWaitFraction,
        PrefillShare prefillShare,
        Duration prefillWindow,
        double prefillWindowFraction,
        Duration slotReleaseInterval,
        Duration reportLifetime) {

    /** What is left of the objective is enough for a load and a short prompt. */
    private static final double OVERLOAD_WAIT_FRACTION = 0.45;

    /** Below this the request is in time where its adapter is, or nearly, and a load elsewhere would not make it sooner. */
    private static final double LOAD_ELSEWHERE_WAIT_FRACTION = 0.95;

    /** Where targets have little to read, a second home costs a place and a load; where they have much, it keeps streams going. */
    private static final PrefillShare PREFILL_SHARE = new PrefillShare(0.25, 0.1, 0.15, 0.4);

    /** The longest pause in a stream that callers take well. */
    private static final Duration PREFILL_WINDOW = Duration.ofMillis(300);

    /** More than a window's reading makes a target's streams pause for longer than the window; others send at the same time. */
    private static final double PREFILL_WINDOW_FRACTION = 0.35;

    /** A batch of some fifty that generates for 1.5 s gives up a slot this often. */
    private static final Duration SLOT_RELEASE_INTERVAL = Duration.ofMillis(30);

    /** Answers come many times a second, so an older report is only left where nothing was sent since. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(1);

    /**
     * The part of a target's time for one adapter, which falls as targets have more to read.
     *
     * @param lightLoadShare the part on a calm day
     * @param heavyLoadShare the part on a heavy day
     * @param lightLoadLimit the part of their time in which all targets read below which a day is calm
     * @param heavyLoadLimit that part from which a day is heavy
     */
    public record PrefillShare(
            double lightLoadShare, double heavyLoadShare, double lightLoadLimit, double heavyLoadLimit) {

        public PrefillShare {
            if (!(heavyLoadShare > 0 && lightLoadShare >= heavyLoadShare && heavyLoadLimit > lightLoadLimit)) {
                throw new IllegalArgumentException("not a falling share: " + lightLoadShare + ", " + heavyLoadShare
                        + ", " + lightLoadLimit + ", " + heavyLoadLimit);
            }
        }

        double at(double busy) {
            double way = Math.min(1, Math.max(0, (busy - lightLoadLimit) / (heavyLoadLimit - lightLoadLimit)));
            return lightLoadShare + way * (heavyLoadShare - lightLoadShare);
        }
    }

    public PlacementSettings {
        Objects.requireNonNull(prefillWindow, "prefillWindow");
        Objects.requireNonNull(slotReleaseInterval, "slotReleaseInterval");
        Objects.requireNonNull(reportLifetime, "reportLifetime");
        if (!(overloadWaitFraction > 0 && loadElsewhereWaitFraction >= overloadWaitFraction)) {
            throw new IllegalArgumentException(
                    "not rising parts: " + overloadWaitFraction + ", " + loadElsewhereWaitFraction);
        }
        if (!(prefillWindowFraction > 0 && prefillWindowFraction <= 1)) {
            throw new IllegalArgumentException("readingPart outside 0 to 1: " + prefillWindowFraction);
        }
    }

    /**
     * Obtains the defaults.
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
