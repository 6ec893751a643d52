package org.geraniumreach.gateway.target;

import java.time.Duration;
import java.util.Objects;

/**
 * What a {@link Placement} goes by.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param crowdedWait the expected wait for the first part beyond which another target is preferred
 * @param loadElsewhereWait the expected wait at all targets that hold an adapter beyond which another one loads it
 * @param readingShare the part of a target's time in which it may read prompts of one adapter before another target shares them
 * @param readingWindow within which prompts sent to a target are counted
 * @param readingPart the most that one entry may send of what a target reads in such a window
 * @param slotTime how long a request keeps a slot, as far as a waiting request is concerned
 * @param reportLifetime for how long a target's own word of its load counts
 */
public record PlacementSettings(
        Duration crowdedWait,
        Duration loadElsewhereWait,
        ReadingShare readingShare,
        Duration readingWindow,
        double readingPart,
        Duration slotTime,
        Duration reportLifetime) {

    /** Within most objectives this leaves room for a load. */
    private static final Duration CROWDED_WAIT = Duration.ofMillis(350);

    /** About what a load and the reading at the target that loads take; below this the wait at a holder is shorter. */
    private static final Duration LOAD_ELSEWHERE_WAIT = Duration.ofMillis(750);

    /** Where targets have little to read, a second home costs a place and a load; where they have much, it keeps streams going. */
    private static final ReadingShare READING_SHARE = new ReadingShare(0.25, 0.1, 0.15, 0.4);

    /** The longest pause in a stream that callers take well. */
    private static final Duration READING_WINDOW = Duration.ofMillis(300);

    /** More than a window's reading makes a target's streams pause for longer than the window; two entries may send at once. */
    private static final double READING_PART = 0.45;

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
        Objects.requireNonNull(crowdedWait, "crowdedWait");
        Objects.requireNonNull(loadElsewhereWait, "loadElsewhereWait");
        Objects.requireNonNull(readingWindow, "readingWindow");
        Objects.requireNonNull(slotTime, "slotTime");
        Objects.requireNonNull(reportLifetime, "reportLifetime");
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
                CROWDED_WAIT,
                LOAD_ELSEWHERE_WAIT,
                READING_SHARE,
                READING_WINDOW,
                READING_PART,
                SLOT_TIME,
                REPORT_LIFETIME);
    }
}
