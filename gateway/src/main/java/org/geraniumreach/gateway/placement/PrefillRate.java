package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Arrays;

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

    private final RecentQuantile observed = new RecentQuantile(RATE_QUANTILE, INITIAL_TOKENS_PER_MILLI);
    private final RecentQuantile overhead = new RecentQuantile(OVERHEAD_QUANTILE, 0);
    private final RecentQuantile net = new RecentQuantile(RATE_QUANTILE, INITIAL_TOKENS_PER_MILLI);

    /** A quantile over recent samples, computed on each addition because it is read far more often. */
    private static final class RecentQuantile {
        private static final int MAXIMUM_SAMPLES = 64;
        private static final int MINIMUM_SAMPLES = 8;

        private final double quantile;
        private final double[] values = new double[MAXIMUM_SAMPLES];
        private int count;
        private double current;

        RecentQuantile(double quantile, double initial) {
            this.quantile = quantile;
            this.current = initial;
        }

        void add(double value) {
            values[count % MAXIMUM_SAMPLES] = value;
            count++;
            if (count < MINIMUM_SAMPLES) {
                return;
            }
            double[] sorted = Arrays.copyOf(values, Math.min(count, MAXIMUM_SAMPLES));
            Arrays.sort(sorted);
            current = sorted[(int) ((sorted.length - 1) * quantile)];
        }

        double get() {
            return current;
        }
    }

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
        double prefillMillis = millis - overhead.get();
        if (prefillMillis > 0) {
            net.add(tokens / prefillMillis);
        }
    }

    /** Gets the tokens per millisecond as observed by requests, including the overhead before the first part. */
    double tokensPerMilli() {
        return observed.get();
    }

    /** Gets the tokens per millisecond of the prefill alone, without the overhead that a very short prompt takes. */
    double netTokensPerMilli() {
        return net.get();
    }
}
