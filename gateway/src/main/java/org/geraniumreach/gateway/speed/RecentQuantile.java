package org.geraniumreach.gateway.speed;

import java.util.Arrays;

/**
 * A quantile of the latest of a series of numbers, computed when it is read after an addition.
 *
 * <p>Confined to the event loop.
 */
public final class RecentQuantile {

    private final double quantile;
    private final double[] values;
    private int size;
    private int next;
    private boolean computed;
    private double current;

    /**
     * Creates an instance without numbers.
     *
     * @param quantile the quantile, from 0 to 1
     * @param maximumSize the number of latest numbers that count, at least 1
     */
    public RecentQuantile(double quantile, int maximumSize) {
        if (quantile < 0 || quantile > 1 || maximumSize < 1) {
            throw new IllegalArgumentException("quantile " + quantile + " of " + maximumSize);
        }
        this.quantile = quantile;
        this.values = new double[maximumSize];
    }

    /**
     * Adds a number, and drops the oldest one if there are too many.
     *
     * @param value the number
     */
    public void add(double value) {
        values[next] = value;
        next = (next + 1) % values.length;
        size = Math.min(size + 1, values.length);
        computed = false;
    }

    /**
     * Gets the number of numbers that count.
     *
     * @return the number, at most the maximum size
     */
    public int size() {
        return size;
    }

    /**
     * Gets the quantile.
     *
     * @return one of the numbers
     * @throws IllegalStateException if there are none
     */
    public double get() {
        if (size == 0) {
            throw new IllegalStateException("no numbers");
        }
        if (!computed) {
            current = Quantiles.quantile(Arrays.stream(values, 0, size), quantile);
            computed = true;
        }
        return current;
    }
}
