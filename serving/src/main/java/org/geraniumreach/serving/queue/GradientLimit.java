package org.geraniumreach.serving.queue;

/**
 * A limit found from latency: it grows while the time for each token stays near the least seen, and shrinks as that rises.
 *
 * <p>Invariants: the limit stays between the bounds; it does not grow while less than half of it is used, since latency
 * then says nothing of it. The least time fades upwards slowly, so a target that became slower for good is learnt anew.
 * Safe for use by several threads, under its own lock.
 */
public final class GradientLimit implements ConcurrencyLimit {

    private static final double SMOOTHING = 0.2;
    private static final double LEAST_GRADIENT = 0.5;
    private static final double FADE = 1.0005;

    private final int least;
    private final int greatest;
    private final double tolerance;
    private double limit;
    private double leastNanosPerToken = Double.MAX_VALUE;

    private GradientLimit(int least, int first, int greatest, double tolerance) {
        this.least = least;
        this.greatest = greatest;
        this.tolerance = tolerance;
        this.limit = first;
    }

    /**
     * Makes a limit.
     *
     * @param least the lower bound, at least 1
     * @param first the limit before anything is known
     * @param greatest the upper bound
     * @param tolerance how many times the least time for a token is still taken, at least 1
     * @return the limit, not null
     */
    public static GradientLimit create(int least, int first, int greatest, double tolerance) {
        if (least < 1 || first < least || greatest < first) {
            throw new IllegalArgumentException("not a rising range: " + least + ", " + first + ", " + greatest);
        }
        if (!(tolerance >= 1)) {
            throw new IllegalArgumentException("tolerance below 1: " + tolerance);
        }
        return new GradientLimit(least, first, greatest, tolerance);
    }

    @Override
    public synchronized int limit() {
        return (int) limit;
    }

    @Override
    public synchronized void sample(double nanosPerToken, int running) {
        if (!(nanosPerToken > 0)) {
            return;
        }
        leastNanosPerToken = Math.min(leastNanosPerToken * FADE, nanosPerToken);
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, tolerance * leastNanosPerToken / nanosPerToken));
        double wanted = limit * gradient + Math.sqrt(limit);
        if (wanted > limit && 2 * running < limit) {
            return;
        }
        double next = (1 - SMOOTHING) * limit + SMOOTHING * wanted;
        limit = Math.max(least, Math.min(greatest, next));
    }
}
