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
    private static final double LEAST_GRADIENT = 0.5;
    private static final int FIRST_PROBE_AFTER = 100;
    private static final int PROBE_AFTER_AT_MOST = 1600;
    private static final int LEAST_PROBE = 20;

    private final int least;
    private final int greatest;
    private final double tolerance;
    private double limit;
    private double latency;
    private double leastLatency = Double.MAX_VALUE;
    private int probeAfter = FIRST_PROBE_AFTER;
    private int untilProbe = FIRST_PROBE_AFTER;
    private int probeLeft;
    private int probeLength;

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
        return probeLeft > 0 ? Math.max(least, (int) (limit / 2)) : (int) limit;
    }

    @Override
    public synchronized void sample(double nanosPerToken, int running) {
        if (!(nanosPerToken > 0)) {
            return;
        }
        latency = latency == 0 ? nanosPerToken : latency + LATENCY_SMOOTHING * (nanosPerToken - latency);
        if (probeLeft > 0) {
            probe();
            return;
        }
        leastLatency = Math.min(leastLatency, latency);
        adjust(running);
        if (--untilProbe == 0) {
            probeLength = Math.max(LEAST_PROBE, 2 * (int) limit);
            probeLeft = probeLength;
        }
    }

    private void probe() {
        probeLeft--;
        if (probeLeft == probeLength / 2) {
            latency = 0;
        }
        if (probeLeft == 0) {
            leastLatency = latency;
            latency = 0;
            probeAfter = Math.min(PROBE_AFTER_AT_MOST, 2 * probeAfter);
            untilProbe = probeAfter;
        }
    }

    private void adjust(int running) {
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, tolerance * leastLatency / latency));
        double wanted = limit * gradient + Math.sqrt(limit);
        if (wanted > limit && 2 * running < limit) {
            return;
        }
        double next = limit + LIMIT_SMOOTHING * (wanted - limit);
        limit = Math.max(least, Math.min(greatest, next));
    }
}
