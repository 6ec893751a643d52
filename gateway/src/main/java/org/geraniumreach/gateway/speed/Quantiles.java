package org.geraniumreach.gateway.speed;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** Quantiles of small sets of numbers. Stateless. */
final class Quantiles {

    private static final double MEDIAN = 0.5;
    private static final int QUARTERS = 4;

    private Quantiles() {}

    /** Gets a quantile of numbers, of which there is at least one. */
    static double quantile(DoubleStream numbers, double quantile) {
        double[] sorted = numbers.toArray();
        Arrays.sort(sorted);
        return sorted[(int) ((sorted.length - 1) * quantile)];
    }

    /** Gets the mean of the middle half of numbers, of which there is at least one. */
    static double interquartileMean(DoubleStream numbers) {
        double[] sorted = numbers.sorted().toArray();
        int trimmed = sorted.length / QUARTERS;
        return Arrays.stream(sorted, trimmed, sorted.length - trimmed).average().orElseThrow();
    }

    static double median(DoubleStream numbers) {
        return quantile(numbers, MEDIAN);
    }
}
