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

    private static final int REMEMBERED = 64;
    private static final int ENOUGH = 8;
    private static final double QUANTILE = 0.75;

    /** Of a shorter prompt the time tells of the step and the way, not of the reading. */
    private static final long LEAST_TOKENS = 400;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double[] speeds = new double[REMEMBERED];
    private int count;
    private double tokensPerMilli = FIRST_TOKENS_PER_MILLI;

    /** Takes the time from the sending of a prompt, with nothing of this entry's ahead of it, to the first part of its answer. */
    void read(long tokens, Duration took) {
        if (tokens < LEAST_TOKENS || took.isZero()) {
            return;
        }
        speeds[count % REMEMBERED] = tokens / (took.toNanos() / NANOS_PER_MILLI);
        count++;
        if (count < ENOUGH) {
            return;
        }
        double[] sorted = Arrays.copyOf(speeds, Math.min(count, REMEMBERED));
        Arrays.sort(sorted);
        tokensPerMilli = sorted[(int) ((sorted.length - 1) * QUANTILE)];
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }
}
