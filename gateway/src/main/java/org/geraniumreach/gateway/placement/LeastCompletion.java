package org.geraniumreach.gateway.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.model.MonotonicClock;

/**
 * Selects targets of services without models, by the least expected completion or, without a known speed, by the least load.
 *
 * <p>Intended for tens of entries and a few targets with few slots each: the entries see the same old load reports, so that the best target alone
 * would receive the requests of all of them until the next report. Confined to the event loop.
 */
final class LeastCompletion {

    /** A fraction of a request that only decides between idle targets. */
    private static final double OTHER_DOMAIN_PENALTY = 0.1;

    /** A tenth more than the best, less rounding: an idle target of another failure domain is outside. */
    private static final double NEAR_BEST_FACTOR = 1.0999;

    private final TargetSpeeds speeds;
    private final EntryContext entry;
    private final PlacementSettings settings;
    private final MonotonicClock clock;

    LeastCompletion(TargetSpeeds speeds, EntryContext entry, PlacementSettings settings, MonotonicClock clock) {
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.entry = Objects.requireNonNull(entry, "entry");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Selects one of the targets, of which there must be at least one; the first wins among equally loaded ones without a known speed. */
    Target select(List<Target> ranked) {
        boolean known =
                ranked.stream().anyMatch(target -> speeds.speedOf(target).known());
        double[] costs = ranked.stream()
                .mapToDouble(known ? this::completion : this::relativeLoad)
                .toArray();
        double best = Arrays.stream(costs).min().orElseThrow();
        double limit = known ? best * NEAR_BEST_FACTOR : best;
        int[] near = IntStream.range(0, costs.length)
                .filter(index -> costs[index] <= limit)
                .toArray();
        int choice = known ? (int) (entry.random().getAsDouble() * near.length) : 0;
        return ranked.get(near[choice]);
    }

    /** Computes the expected completion of one more request, in units of the usual time of a request. */
    private double completion(Target target) {
        return (loadWithPenalty(target) + 1)
                * speeds.speedOf(target).slowdown()
                / target.description().slots();
    }

    private double relativeLoad(Target target) {
        return loadWithPenalty(target) / target.description().slots();
    }

    private double loadWithPenalty(Target target) {
        int load = target.load(clock.nanos(), settings.reportLifetime());
        return target.description().failureDomain().equals(entry.failureDomain()) ? load : load + OTHER_DOMAIN_PENALTY;
    }
}
