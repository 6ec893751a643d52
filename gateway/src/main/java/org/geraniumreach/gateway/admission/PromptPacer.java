package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Spaces the prompts of all entries at one target by the generic cell rate algorithm.
 *
 * <p>Intended for targets that read prompts between the tokens of running streams: all streams pause while a burst of prompts is read. Invariant: in
 * any span of time, all admitted prompts but the last one take at most the reading fraction of the span and {@link #BURST} to read. The schedule is in
 * time, so a target that slows down gets the next prompts at its pace at once. Confined to the event loop.
 */
public final class PromptPacer {

    /** Fraction of the time of a target of unknown speed for reading prompts; the rest is left for generating tokens. */
    public static final double READING_FRACTION = 0.8;

    /** Reading time that may be sent early; covers the varying delays of the owner's answers. */
    public static final Duration BURST = Duration.ofMillis(10);

    private long nextFreeAt = Long.MIN_VALUE;

    /**
     * Counts a prompt unless it would be delayed for too long.
     *
     * @param readingTime the time that the target takes to read it, not null
     * @param readingFraction the fraction of the target's time that may be spent on reading prompts, above 0
     * @param maxDelay the longest time that the prompt may be delayed, not null
     * @param now the current time, in nanoseconds
     * @return the delay, empty if it would be too long, not null
     */
    public Optional<Duration> admit(Duration readingTime, double readingFraction, Duration maxDelay, long now) {
        Duration delay = Duration.ofNanos(earliestStart(now) - now);
        if (delay.compareTo(maxDelay) > 0) {
            return Optional.empty();
        }
        recordPrompt(readingTime, readingFraction, now);
        return Optional.of(delay);
    }

    /**
     * Computes when the next prompt may be sent.
     *
     * @param now the current time, in nanoseconds
     * @return the time, in nanoseconds, not before the current time
     */
    public long earliestStart(long now) {
        return Math.max(now, Math.max(now, nextFreeAt) - BURST.toNanos());
    }

    /**
     * Counts a prompt that is sent at its earliest start.
     *
     * @param readingTime the time that the target takes to read it, not null
     * @param now the current time, in nanoseconds
     */
    public void recordPrompt(Duration readingTime, long now) {
        recordPrompt(readingTime, READING_FRACTION, now);
    }

    private void recordPrompt(Duration readingTime, double readingFraction, long now) {
        nextFreeAt = Math.max(now, nextFreeAt) + (long) (readingTime.toNanos() / readingFraction);
    }

    /**
     * Creates a pacer in the same state, for foreseeing later starts.
     *
     * @return the pacer, not null
     */
    public PromptPacer copy() {
        PromptPacer copy = new PromptPacer();
        copy.nextFreeAt = nextFreeAt;
        return copy;
    }
}
