package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Arrays;

/**
 * The prompt tokens that a target of one service reads in a millisecond, learnt from the times to first parts.
 *
 * <p>Most of these times hold more than the reading: prompts of other entries, steps of a batch. So what three quarters of the
 * last prompts stayed below counts. Confined to the event loop.
 */
final class PrefillRate {

    /** Slower than most engines, so that a target seems crowded too soon rather than too late. */
    private static final double INITIAL_TOKENS_PER_MILLI = 15;

    private static final double RATE_QUANTILE = 0.75;

    /** Of a shorter prompt the time tells of the step and the way, not of the reading. */
    private static final long MINIMUM_PROMPT_TOKENS = 400;

    private static final double OVERHEAD_QUANTILE = 0.25;
    private static final double NANOS_PER_MILLI = 1e6;

    private final RecentQuantile observed = new RecentQuantile(RATE_QUANTILE, INITIAL_TOKENS_PER_MILLI);
    private final RecentQuantile overhead = new RecentQuantile(OVERHEAD_QUANTILE, 0);
    private final RecentQuantile net = new RecentQuantile(RATE_QUANTILE, INITIAL_TOKENS_PER_MILLI);

    /** A quantile of the last values that were measured, worked out when one is added: it is asked for far more often. */
    private static final class RecentQuantile {
        private static final int MAXIMUM_SAMPLES = 64;
        private static final int MINIMUM_SAMPLES = 8;

        private final double quantile;
        private final double[] values = new double[MAXIMUM_SAMPLES];
        private int count;
        private double current;

        RecentQuantile(double quantile, double first) {
            this.quantile = quantile;
            this.current = first;
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

    /** Takes the time from the sending of a prompt, with nothing of this entry's ahead of it, to the first part of its answer. */
    void record(long tokens, Duration took) {
        double millis = took.toNanos() / NANOS_PER_MILLI;
        if (millis <= 0) {
            return;
        }
        if (tokens < MINIMUM_PROMPT_TOKENS) {
            overhead.add(Math.max(0, millis - tokens / netTokensPerMilli()));
            return;
        }
        observed.add(tokens / millis);
        double reading = millis - overhead.get();
        if (reading > 0) {
            net.add(tokens / reading);
        }
    }

    /** Gets the speed that requests see, with the steps until their first part. */
    double tokensPerMilli() {
        return observed.get();
    }

    /** Gets the speed of the reading alone, without what a prompt of next to no tokens takes. */
    double netTokensPerMilli() {
        return net.get();
    }
}
