package org.geraniumreach.serving.queue;

/**
 * An adaptive limit that grows while the time per token stays near its minimum, and shrinks as that time rises.
 *
 * <p>The minimum cannot be observed on a target that is always full, and a minimum that slowly decays upwards would let
 * the limit grow without end. So the limit is halved periodically for a probe, first often and then rarely, in which
 * the minimum is measured anew. The limit settles where doubling the requests costs more than the tolerance.
 * Invariants: the limit stays within its bounds; it does not grow while less than half of it is used, since latency
 * then gives no information about it. Safe for use by several threads, under its own lock.
 */
public final class GradientLimit implements ConcurrencyLimit {

    private static final double LIMIT_SMOOTHING = 0.2;
    private static final double LATENCY_SMOOTHING = 0.1;
    private static final double MINIMUM_GRADIENT = 0.5;
    private static final int FIRST_PROBE_INTERVAL_SAMPLES = 100;
    private static final int MAXIMUM_PROBE_INTERVAL_SAMPLES = 1600;
    private static final int MINIMUM_PROBE_SAMPLES = 20;

    private final int minimumLimit;
    private final int maximumLimit;
    private final double tolerance;
    private double limit;
    private double smoothedLatency;
    private double baseLatency = Double.MAX_VALUE;
    private int probeInterval = FIRST_PROBE_INTERVAL_SAMPLES;
    private int samplesUntilProbe = FIRST_PROBE_INTERVAL_SAMPLES;
    private int probeSamplesLeft;
    private int probeSamples;

    private GradientLimit(int minimumLimit, int initialLimit, int maximumLimit, double tolerance) {
        this.minimumLimit = minimumLimit;
        this.maximumLimit = maximumLimit;
        this.tolerance = tolerance;
        this.limit = initialLimit;
    }

    /**
     * Creates a limit.
     *
     * @param minimumLimit the lower bound, at least 1
     * @param initialLimit the initial limit
     * @param maximumLimit the upper bound
     * @param tolerance the accepted time per token as a multiple of its minimum, at least 1
     * @return the limit, not null
     */
    public static GradientLimit create(int minimumLimit, int initialLimit, int maximumLimit, double tolerance) {
        if (minimumLimit < 1 || initialLimit < minimumLimit || maximumLimit < initialLimit) {
            throw new IllegalArgumentException("expected 1 <= minimumLimit <= initialLimit <= maximumLimit: "
                    + minimumLimit + ", " + initialLimit + ", " + maximumLimit);
        }
        if (!(tolerance >= 1)) {
            throw new IllegalArgumentException("tolerance below 1: " + tolerance);
        }
        return new GradientLimit(minimumLimit, initialLimit, maximumLimit, tolerance);
    }

    @Override
    public synchronized int limit() {
        return probeSamplesLeft > 0 ? Math.max(minimumLimit, (int) (limit / 2)) : (int) limit;
    }

    @Override
    public synchronized void onSample(double nanosPerToken, int running) {
        if (!(nanosPerToken > 0)) {
            return;
        }
        smoothedLatency = smoothedLatency == 0
                ? nanosPerToken
                : smoothedLatency + LATENCY_SMOOTHING * (nanosPerToken - smoothedLatency);
        if (probeSamplesLeft > 0) {
            onProbeSample();
            return;
        }
        baseLatency = Math.min(baseLatency, smoothedLatency);
        adjust(running);
        if (--samplesUntilProbe == 0) {
            probeSamples = Math.max(MINIMUM_PROBE_SAMPLES, 2 * (int) limit);
            probeSamplesLeft = probeSamples;
        }
    }

    private void onProbeSample() {
        probeSamplesLeft--;
        if (probeSamplesLeft == probeSamples / 2) {
            smoothedLatency = 0;
        }
        if (probeSamplesLeft == 0) {
            baseLatency = smoothedLatency;
            smoothedLatency = 0;
            probeInterval = Math.min(MAXIMUM_PROBE_INTERVAL_SAMPLES, 2 * probeInterval);
            samplesUntilProbe = probeInterval;
        }
    }

    private void adjust(int running) {
        double gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, tolerance * baseLatency / smoothedLatency));
        double desired = limit * gradient + Math.sqrt(limit);
        if (desired > limit && 2 * running < limit) {
            return;
        }
        double next = limit + LIMIT_SMOOTHING * (desired - limit);
        limit = Math.max(minimumLimit, Math.min(maximumLimit, next));
    }
}
