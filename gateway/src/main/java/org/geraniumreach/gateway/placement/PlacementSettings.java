package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * What a {@link Placement} goes by.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param crowdedPart the part of its objective for which a request is expected to wait beyond which another target is preferred
 * @param loadElsewherePart the part of its objective for which it is expected to wait at all targets that hold its adapter
 *         beyond which another one loads it
 * @param readingShare the part of a target's time in which it may read prompts of one adapter before another target shares them
 * @param readingWindow within which prompts sent to a target are counted
 * @param readingPart the most that one entry may send of what a target reads in such a window
 * @param slotTime how long a request keeps a slot, as far as a waiting request is concerned
 * @param reportLifetime for how long a target's own word of its load counts
 */
public record PlacementSettings(
        double crowdedPart,
        double loadElsewherePart,
        ReadingShare readingShare,
        Duration readingWindow,
        double readingPart,
        Duration slotTime,
        Duration reportLifetime) {

    /** What is left of the objective is enough for a load and a short prompt. */
    private static final double CROWDED_PART = 0.45;

    /** Below this the request is in time where its adapter is, or nearly, and a load elsewhere would not make it sooner. */
    private static final double LOAD_ELSEWHERE_PART = 0.95;

    /** Where targets have little to read, a second home costs a place and a load; where they have much, it keeps streams going. */
    private static final ReadingShare READING_SHARE = new ReadingShare(0.25, 0.1, 0.15, 0.4);

    /** The longest pause in a stream that callers take well. */
    private static final Duration READING_WINDOW = Duration.ofMillis(300);

    /** More than a window's reading makes a target's streams pause for longer than the window; others send at the same time. */
    private static final double READING_PART = 0.35;

    /** A batch of some fifty that generates for 1.5 s gives up a slot this often. */
    private static final Duration SLOT_TIME = Duration.ofMillis(30);

    /** Answers come many times a second, so an older report is only left where nothing was sent since. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(1);

    /**
     * The part of a target's time for one adapter, which falls as targets have more to read.
     *
     * @param calm the part on a calm day
     * @param heavy the part on a heavy day
     * @param calmBelow the part of their time in which all targets read below which a day is calm
     * @param heavyFrom that part from which a day is heavy
     */
    public record ReadingShare(double calm, double heavy, double calmBelow, double heavyFrom) {

        public ReadingShare {
            if (!(heavy > 0 && calm >= heavy && heavyFrom > calmBelow)) {
                throw new IllegalArgumentException(
                        "not a falling share: " + calm + ", " + heavy + ", " + calmBelow + ", " + heavyFrom);
            }
        }

        double at(double busy) {
            double way = Math.min(1, Math.max(0, (busy - calmBelow) / (heavyFrom - calmBelow)));
            return calm + way * (heavy - calm);
        }
    }

    public PlacementSettings {
        Objects.requireNonNull(readingWindow, "readingWindow");
        Objects.requireNonNull(slotTime, "slotTime");
        Objects.requireNonNull(reportLifetime, "reportLifetime");
        if (!(crowdedPart > 0 && loadElsewherePart >= crowdedPart)) {
            throw new IllegalArgumentException("not rising parts: " + crowdedPart + ", " + loadElsewherePart);
        }
        if (!(readingPart > 0 && readingPart <= 1)) {
            throw new IllegalArgumentException("readingPart outside 0 to 1: " + readingPart);
        }
    }

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                CROWDED_PART,
                LOAD_ELSEWHERE_PART,
                READING_SHARE,
                READING_WINDOW,
                READING_PART,
                SLOT_TIME,
                REPORT_LIFETIME);
    }
}
