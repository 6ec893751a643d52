package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Arrays;

/**
 * The prompt tokens that a target of one service reads in a millisecond, learnt from the times to first parts.
 *
 * <p>Most of these times hold more than the reading: prompts of other entries, steps of a batch. So what three quarters of the
 * last prompts stayed below counts. Confined to the event loop.
 */
final class ReadingSpeed {

    /** Slower than most engines, so that a target seems crowded too soon rather than too late. */
    private static final double FIRST_TOKENS_PER_MILLI = 15;

    private static final double QUANTILE = 0.75;

    /** Of a shorter prompt the time tells of the step and the way, not of the reading. */
    private static final long LEAST_TOKENS = 400;

    private static final double OVERHEAD_QUANTILE = 0.25;
    private static final double NANOS_PER_MILLI = 1e6;

    private final RecentValues observed = new RecentValues();
    private final RecentValues overheads = new RecentValues();
    private final RecentValues netSpeeds = new RecentValues();

    /** The last values that were measured. */
    private static final class RecentValues {
        private static final int REMEMBERED = 64;
        private static final int ENOUGH = 8;

        private final double[] values = new double[REMEMBERED];
        private int count;

        void add(double value) {
            values[count % REMEMBERED] = value;
            count++;
        }

        double quantile(double quantile, double fallback) {
            if (count < ENOUGH) {
                return fallback;
            }
            double[] sorted = Arrays.copyOf(values, Math.min(count, REMEMBERED));
            Arrays.sort(sorted);
            return sorted[(int) ((sorted.length - 1) * quantile)];
        }
    }

    /** Takes the time from the sending of a prompt, with nothing of this entry's ahead of it, to the first part of its answer. */
    void read(long tokens, Duration took) {
        double millis = took.toNanos() / NANOS_PER_MILLI;
        if (millis <= 0) {
            return;
        }
        if (tokens < LEAST_TOKENS) {
            overheads.add(Math.max(0, millis - tokens / netTokensPerMilli()));
            return;
        }
        observed.add(tokens / millis);
        double reading = millis - overheads.quantile(OVERHEAD_QUANTILE, 0);
        if (reading > 0) {
            netSpeeds.add(tokens / reading);
        }
    }

    /** Gets the speed that requests see, with the steps until their first part. */
    double tokensPerMilli() {
        return observed.quantile(QUANTILE, FIRST_TOKENS_PER_MILLI);
    }

    /** Gets the speed of the reading alone, without what a prompt of next to no tokens takes. */
    double netTokensPerMilli() {
        return netSpeeds.quantile(QUANTILE, FIRST_TOKENS_PER_MILLI);
    }
}
