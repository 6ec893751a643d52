package org.geraniumreach.gateway.target;

import java.time.Duration;
import java.util.Objects;

/**
 * What a {@link Placement} goes by.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param promptTokensPerMilli the prompt tokens that a target reads in a millisecond
 * @param crowdedWait the expected wait for the first part beyond which another target is preferred
 * @param loadElsewhereWait the expected wait at all targets that hold an adapter beyond which another one loads it
 * @param readingShare the part of a target's time in which it may read prompts of one adapter before another target shares them
 * @param readingWindow within which prompts sent to a target are counted
 * @param readingTokens the most tokens of such a window from one entry
 * @param slotTime how long a request keeps a slot, as far as a waiting request is concerned
 * @param reportLifetime for how long a target's own word of its load counts
 */
public record PlacementSettings(
        double promptTokensPerMilli,
        Duration crowdedWait,
        Duration loadElsewhereWait,
        ReadingShare readingShare,
        Duration readingWindow,
        long readingTokens,
        Duration slotTime,
        Duration reportLifetime) {

    /** What the users' engines read. */
    private static final double TOKENS_PER_MILLI = 19.2;

    /** Of an objective of 800 ms this leaves room for a load of 250 ms. */
    private static final Duration CROWDED_WAIT = Duration.ofMillis(350);

    /** A load takes 400 ms on a heavy day, and the target that loads has 350 ms to read; below this the wait at a holder is shorter. */
    private static final Duration LOAD_ELSEWHERE_WAIT = Duration.ofMillis(750);

    /**
     * Targets read for a fifth of their time on Sabarmati's calm day, for 45 % on its heaviest. With a tenth for each adapter throughout,
     * 1,854 streams of the heavy day's 5,337 were in time instead of 1,733 with a quarter, and the calm day fetched 758 adapters
     * instead of 558; one run each, with simulated targets.
     */
    private static final ReadingShare READING_SHARE = new ReadingShare(0.25, 0.1, 0.15, 0.4);

    /** The longest pause in a stream that callers take well. */
    private static final Duration READING_WINDOW = Duration.ofMillis(300);

    /** Some 5,000 tokens at a stretch make a target's streams pause for longer than the window; one entry may send half. */
    private static final long READING_TOKENS = 2_600;

    /** A batch of 48 that generates for 1.5 s gives up a slot this often. */
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
        if (!(promptTokensPerMilli > 0)) {
            throw new IllegalArgumentException("promptTokensPerMilli not above zero: " + promptTokensPerMilli);
        }
    }

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                TOKENS_PER_MILLI,
                CROWDED_WAIT,
                LOAD_ELSEWHERE_WAIT,
                READING_SHARE,
                READING_WINDOW,
                READING_TOKENS,
                SLOT_TIME,
                REPORT_LIFETIME);
    }
}
