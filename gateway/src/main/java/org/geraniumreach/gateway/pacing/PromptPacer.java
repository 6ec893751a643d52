package org.geraniumreach.gateway.pacing;

import java.time.Duration;

import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;

/**
 * Spaces the prompts of all entries at one target (generic cell rate algorithm).
 *
 * <p>Intended for targets that read prompts between the tokens of running streams: prompts that come in a clump are read one after another, and all
 * streams there pause for as long. Invariant: in any span of time, the prompts admitted take at most {@link #READING_FRACTION} of it and
 * {@link #BURST} to read, besides the last one. Confined to the event loop.
 */
final class PromptPacer {

    /** Part of a target's time for reading; the rest is left to the tokens of its streams. */
    static final double READING_FRACTION = 0.8;

    /** Reading time that may be sent at once; covers turns that come a little early because answers take different times. */
    static final Duration BURST = Duration.ofMillis(10);

    private long nextFreeAt = Long.MIN_VALUE;

    Decision admit(Duration reading, Duration longestDelay, long now) {
        long start = Math.max(now, nextFreeAt);
        Duration delay = Duration.ofNanos(Math.max(0, start - now - BURST.toNanos()));
        if (delay.compareTo(longestDelay) > 0) {
            return Decision.SATURATED;
        }
        nextFreeAt = start + (long) (reading.toNanos() / READING_FRACTION);
        return new Decision(true, delay);
    }
}
