package org.geraniumreach.serving.queue;

/**
 * A limit found from latency: it grows while the time for each token stays near the least seen, and shrinks as that rises.
 *
 * <p>A target that is full throughout never shows how fast it can be, and a least time that merely fades upwards follows
 * the limit without end. So at first often, then now and then, half the limit is given for a while, and the least time is learnt from that: the
 * limit settles where doubling the requests costs more than the tolerance. Invariants: the limit stays between the bounds;
 * it does not grow while less than half of it is used, since latency then says nothing of it. Safe for use by several
 * threads, under its own lock.
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

    private GradientLimit(int least, int first, int greatest, double tolerance) {
        this.minimumLimit = least;
        this.maximumLimit = greatest;
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
        return probeSamplesLeft > 0 ? Math.max(minimumLimit, (int) (limit / 2)) : (int) limit;
    }

    @Override
    public synchronized void onSample(double nanosPerToken, int running) {
        if (!(nanosPerToken > 0)) {
            return;
        }
        smoothedLatency = smoothedLatency == 0 ? nanosPerToken : smoothedLatency + LATENCY_SMOOTHING * (nanosPerToken - smoothedLatency);
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
        double wanted = limit * gradient + Math.sqrt(limit);
        if (wanted > limit && 2 * running < limit) {
            return;
        }
        double next = limit + LIMIT_SMOOTHING * (wanted - limit);
        limit = Math.max(minimumLimit, Math.min(maximumLimit, next));
    }
}
