package org.geraniumreach.gateway.speed;

/**
 * Estimates how much slower than usual a target is at present.
 *
 * <p>Intended for a figure that changes many times a second and is seen irregularly, from once in several seconds to many times while it
 * holds. Therefore a figure counts less the older it is, and the mean weighs figures by the time that they cover, so that many answers
 * within a short slow period do not count more than the period lasts.
 *
 * <p>Invariant: the estimate lies between {@link #MINIMUM} and the greatest figure. Confined to the event loop.
 */
final class SlowdownEstimate {

    /** Below this a figure is taken as this, since a rate that is derived from it would exceed that of any engine. */
    static final double MINIMUM = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Figures hold for about 0.6 s, so most that are older than this have changed. */
    private static final double FIGURE_DECAY_SECONDS = 0.4;

    /** The longest time that one figure covers in the mean. */
    private static final double LONGEST_COVERED_SECONDS = 0.6;

    /** Covers many changes of the figure, and forgets a lasting change within a minute or two. */
    private static final double MEAN_DECAY_SECONDS = 30;

    /** Keeps the first few figures from determining the mean. */
    private static final double PRIOR_SECONDS = 2.4;

    private boolean observed;
    private double newest = 1;
    private long newestAt;
    private double coveredSeconds;
    private double weightedSum;

    /**
     * Adds a figure; ignored if a newer one is known.
     *
     * @return whether the figure is the newest one
     */
    boolean add(double factor, long reportedAt) {
        if (observed && reportedAt <= newestAt) {
            return false;
        }
        double bounded = Math.max(MINIMUM, factor);
        double elapsed = observed ? secondsBetween(newestAt, reportedAt) : LONGEST_COVERED_SECONDS;
        double decay = Math.exp(-elapsed / MEAN_DECAY_SECONDS);
        double covered = Math.min(elapsed, LONGEST_COVERED_SECONDS);
        coveredSeconds = coveredSeconds * decay + covered;
        weightedSum = weightedSum * decay + covered * bounded;
        newest = bounded;
        newestAt = reportedAt;
        observed = true;
        return true;
    }

    private static double secondsBetween(long earlier, long later) {
        return (later - earlier) / NANOS_PER_SECOND;
    }

    boolean isObserved() {
        return observed;
    }

    /** Gets the newest figure. */
    double newest() {
        return newest;
    }

    /** Gets the time of the newest figure. */
    long newestAt() {
        return newestAt;
    }

    /** Gets the estimate, 1 without figures. */
    double estimate(long now) {
        if (!observed) {
            return 1;
        }
        double weight = Math.exp(-Math.max(0, secondsBetween(newestAt, now)) / FIGURE_DECAY_SECONDS);
        return weight * newest + (1 - weight) * mean(now);
    }

    /** Gets the mean, which fades to 1 without new figures: a target that is avoided as slow would report no others. */
    private double mean(long now) {
        double decay = Math.exp(-Math.max(0, secondsBetween(newestAt, now)) / MEAN_DECAY_SECONDS);
        return (PRIOR_SECONDS + weightedSum * decay) / (PRIOR_SECONDS + coveredSeconds * decay);
    }
}
