package org.geraniumreach.gateway.pacing;

import org.geraniumreach.gateway.admission.PromptPacer;
import org.geraniumreach.gateway.speed.TargetSpeed;

/**
 * Computes the fraction of a target's time that may be spent on reading prompts.
 *
 * <p>Intended for targets that read prompts between the steps of their running streams and whose speed changes within a second. Invariant: unless the
 * minimum applies, the reading of an accepted pause and the steps of one event together take no longer than the pause. Stateless.
 */
final class ReadingFraction {

    /** The longest pause within a stream that callers accept. */
    private static final double ACCEPTED_PAUSE_MILLIS = 300;

    /** The steps between two events of a stream, which take their time in addition to the prompts that are read meanwhile. */
    private static final double STEPS_PER_EVENT = 4;

    /** The time of a step without prompts at an average target; that of the slower one of the engines in use. */
    private static final double STEP_MILLIS = 8.2;

    /** Keeps a very slow target usable: prompts that it refuses are sent to targets that have to load their adapter first. */
    private static final double MINIMUM_FRACTION = 0.2;

    private ReadingFraction() {}

    static double of(TargetSpeed speed) {
        if (!speed.known()) {
            return PromptPacer.READING_FRACTION;
        }
        double stepsMillis = STEPS_PER_EVENT * STEP_MILLIS / speed.currentRate();
        return Math.max(MINIMUM_FRACTION, 1 - stepsMillis / ACCEPTED_PAUSE_MILLIS);
    }
}
