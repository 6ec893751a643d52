package org.geraniumreach.gateway.speed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.DoubleStream;

/**
 * Learns the relative rate of one target from the samples of all entries.
 *
 * <p>Intended for a few samples a second, of which a minority was taken while the target was slowed down. The rate is the median of
 * recent samples and of a prior, in steps of {@link #STEP}. It moves to another step only if the median has left the middle of the present
 * one by {@link #HYSTERESIS_STEPS}, since each change moves home targets of adapters.
 *
 * <p>Invariant: five samples or fewer cannot change the rate. Each {@link #SAMPLES_PER_PRIOR} samples replace one of the prior. Confined to
 * the event loop.
 */
final class LearntRate {

    /** The ratio of one step to the next; about the error of the median of a few seconds' samples. */
    static final double STEP = 1.15;

    /** More than the half step at which the nearest step changes. */
    private static final double HYSTERESIS_STEPS = 0.75;

    /** Limits the rate to between about 0.16 and 6.2, beyond which targets of one service do not differ. */
    private static final int OUTERMOST_STEP = 13;

    private static final int PRIOR_SAMPLES = 8;

    /** A prior that did not fade would keep the rates of fast and slow targets near the mean for many seconds. */
    private static final int SAMPLES_PER_PRIOR = 2;

    /** Some ten seconds of samples in a deployment of thirty entries, each of which sends a prompt in four seconds. */
    private static final int MAXIMUM_SAMPLES = 64;

    private final Deque<Recorded> samples = new ArrayDeque<>();
    private final double priorRate;
    private int step;

    private record Recorded(PaceSample sample, long at) {}

    /** Creates a rate that starts from the step nearest to a rate above 0, which the prior assumes too. */
    LearntRate(double startingRate) {
        this.step = nearestStep(startingRate);
        this.priorRate = rate();
    }

    void add(PaceSample sample, long now) {
        samples.addLast(new Recorded(sample, now));
        if (samples.size() > MAXIMUM_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * Updates the rate from the samples.
     *
     * @param meanEventsPerMilli the pace at a target of mean speed
     * @return whether the rate has changed
     */
    boolean update(double meanEventsPerMilli) {
        DoubleStream observed =
                samples.stream().mapToDouble(recorded -> recorded.sample().eventsPerMilli() / meanEventsPerMilli);
        int remainingPrior = Math.max(0, PRIOR_SAMPLES - samples.size() / SAMPLES_PER_PRIOR);
        DoubleStream prior = DoubleStream.generate(() -> priorRate).limit(remainingPrior);
        double median = Quantiles.median(DoubleStream.concat(observed, prior));
        int previous = step;
        if (Math.abs(stepsOf(median) - step) > HYSTERESIS_STEPS) {
            step = nearestStep(median);
        }
        return step != previous;
    }

    private static double stepsOf(double rate) {
        return Math.log(rate) / Math.log(STEP);
    }

    private static int nearestStep(double rate) {
        long nearest = Math.round(stepsOf(rate));
        return (int) Math.max(-OUTERMOST_STEP, Math.min(OUTERMOST_STEP, nearest));
    }

    double rate() {
        return Math.pow(STEP, step);
    }

    int sampleCount() {
        return samples.size();
    }

    /** Gets the time since the oldest sample, 0 without samples. */
    long ageNanos(long now) {
        return samples.isEmpty() ? 0 : now - samples.getFirst().at();
    }
}
