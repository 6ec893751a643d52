package org.geraniumreach.gateway.pacing;

import java.time.Duration;

import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;

/**
 * Spaces the prompts of all entries at one target by the generic cell rate algorithm.
 *
 * <p>Intended for targets that read prompts between the tokens of running streams: all streams pause while a burst of prompts is read. Invariant: in
 * any span of time, all admitted prompts but the last one take at most the reading fraction of the span and {@link #BURST} to read. The schedule is in
 * time, so a target that slows down gets the next prompts at its pace at once. Confined to the event loop.
 */
final class PromptPacer {

    /** Fraction of the time of a target of unknown speed for reading prompts; the rest is left for generating tokens. */
    static final double READING_FRACTION = 0.8;

    /** Reading time that may be sent early; covers the varying delays of the owner's answers. */
    static final Duration BURST = Duration.ofMillis(10);

    private long nextFreeAt = Long.MIN_VALUE;

    Decision admit(Duration readingTime, Duration maxDelay, long now) {
        return admit(readingTime, READING_FRACTION, maxDelay, now);
    }

    Decision admit(Duration readingTime, double readingFraction, Duration maxDelay, long now) {
        long start = Math.max(now, nextFreeAt);
        Duration delay = Duration.ofNanos(Math.max(0, start - now - BURST.toNanos()));
        if (delay.compareTo(maxDelay) > 0) {
            return Decision.SATURATED;
        }
        nextFreeAt = start + (long) (readingTime.toNanos() / readingFraction);
        return new Decision(true, delay);
    }
}
