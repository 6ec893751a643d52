package org.geraniumreach.gateway.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Ranks targets for a key by rendezvous hashing, weighted with their published relative rates.
 *
 * <p>Intended for targets of one service whose rates differ by a small factor: each target ranks first for a share of the keys in proportion to its
 * rate, and a change of one rate moves only keys from or to that target. Invariant: the momentary slowdown does not affect the order, and with equal
 * rates the order is that of unweighted hashing. Equal scores keep the order of the list, which is sorted by name. Confined to the event loop.
 */
final class TargetRanking {

    private static final double SCORE_COUNT = 0x1p32;

    private final TargetSpeeds speeds;

    private record Ranked(Target target, double key) {}

    TargetRanking(TargetSpeeds speeds) {
        this.speeds = Objects.requireNonNull(speeds, "speeds");
    }

    List<Target> rank(String key, List<Target> targets) {
        int hash = Rendezvous.hash(key);
        double[] weights = targets.stream().mapToDouble(this::weight).toArray();
        return Arrays.stream(weights).allMatch(weight -> weight == weights[0])
                ? rankUnweighted(hash, targets)
                : rankWeighted(hash, targets, weights);
    }

    private double weight(Target target) {
        return speeds.relativeRateOf(target);
    }

    private static List<Target> rankUnweighted(int hash, List<Target> targets) {
        long[] ranks = new long[targets.size()];
        for (int index = 0; index < ranks.length; index++) {
            int score = Rendezvous.score(hash, targets.get(index).hash());
            ranks[index] = (long) ~score << Integer.SIZE | index;
        }
        Arrays.sort(ranks);
        List<Target> ranked = new ArrayList<>(ranks.length);
        for (long rank : ranks) {
            ranked.add(targets.get((int) rank));
        }
        return ranked;
    }

    /** Sorts by exponentially distributed keys with the weights as rates: the least key belongs to a target in proportion to its weight. */
    static List<Target> rankWeighted(int hash, List<Target> targets, double[] weights) {
        List<Ranked> ranked = new ArrayList<>(weights.length);
        for (int index = 0; index < weights.length; index++) {
            Target target = targets.get(index);
            double uniform = (0.5 + Rendezvous.score(hash, target.hash()) - Integer.MIN_VALUE) / SCORE_COUNT;
            ranked.add(new Ranked(target, -Math.log(uniform) / weights[index]));
        }
        ranked.sort(Comparator.comparingDouble(Ranked::key));
        return ranked.stream().map(Ranked::target).toList();
    }
}
