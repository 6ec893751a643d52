package org.geraniumreach.standins.load;

import org.HdrHistogram.Histogram;

/**
 * Summary statistics of a set of latencies, in milliseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param count the number of samples
 * @param mean the mean
 * @param p50 the median
 * @param p95 the 95th percentile
 * @param p99 the 99th percentile
 * @param most the maximum
 */
public record LatencySummary(long count, double mean, double p50, double p95, double p99, double most) {

    private static final double MICROS_PER_MILLI = 1000;

    static LatencySummary of(Histogram micros) {
        if (micros.getTotalCount() == 0) {
            return new LatencySummary(0, 0, 0, 0, 0, 0);
        }
        return new LatencySummary(
                micros.getTotalCount(),
                micros.getMean() / MICROS_PER_MILLI,
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
    }
}
