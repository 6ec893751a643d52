package org.geraniumreach.gateway.placement;

import java.time.Duration;

import org.geraniumreach.gateway.speed.RecentQuantile;

/**
 * Estimates the prefill rate of the targets of one service from the times to the first part.
 *
 * <p>Most of these times include more than the prefill, such as prompts of other entries and steps of a batch. The
 * rate is therefore the 75th percentile of recent prompts. Confined to the event loop.
 */
final class PrefillRate {

    /** Slower than most engines, so that a target is treated as overloaded too early rather than too late. */
    private static final double INITIAL_TOKENS_PER_MILLI = 15;

    private static final double RATE_QUANTILE = 0.75;

    /** The time of a shorter prompt is dominated by the batch step and network latency. */
    private static final long MINIMUM_PROMPT_TOKENS = 400;

    private static final double OVERHEAD_QUANTILE = 0.25;
    private static final double NANOS_PER_MILLI = 1e6;

    private static final int MAXIMUM_SAMPLES = 64;
    private static final int MINIMUM_SAMPLES = 8;

    private final RecentQuantile observed = new RecentQuantile(RATE_QUANTILE, MAXIMUM_SAMPLES);
    private final RecentQuantile overhead = new RecentQuantile(OVERHEAD_QUANTILE, MAXIMUM_SAMPLES);
    private final RecentQuantile net = new RecentQuantile(RATE_QUANTILE, MAXIMUM_SAMPLES);

    /**
     * Records the time to the first part of a prompt that was sent while none of this entry was pending at the
     * target.
     */
    void record(long tokens, Duration timeToFirstPart) {
        double millis = timeToFirstPart.toNanos() / NANOS_PER_MILLI;
        if (millis <= 0) {
            return;
        }
        if (tokens < MINIMUM_PROMPT_TOKENS) {
            overhead.add(Math.max(0, millis - tokens / netTokensPerMilli()));
            return;
        }
        observed.add(tokens / millis);
        double prefillMillis = millis - valueOr(0, overhead);
        if (prefillMillis > 0) {
            net.add(tokens / prefillMillis);
        }
    }

    /** Gets the tokens per millisecond as observed by requests, including the overhead before the first part. */
    double tokensPerMilli() {
        return valueOr(INITIAL_TOKENS_PER_MILLI, observed);
    }

    /** Gets the tokens per millisecond of the prefill alone, without the overhead that a very short prompt takes. */
    double netTokensPerMilli() {
        return valueOr(INITIAL_TOKENS_PER_MILLI, net);
    }

    private static double valueOr(double initial, RecentQuantile recent) {
        return recent.size() < MINIMUM_SAMPLES ? initial : recent.get();
    }
}
