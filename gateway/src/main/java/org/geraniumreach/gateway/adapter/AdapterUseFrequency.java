package org.geraniumreach.gateway.adapter;

import java.util.HashMap;
import java.util.Map;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Exponentially decaying use counts of adapters.
 *
 * <p>Invariant: scores below {@link #MIN_SCORE} are pruned, which bounds the number of adapters by the uses within a few half-lives.
 * Confined to the event loop.
 */
final class AdapterUseFrequency {

    /** Demand shifts to other adapters within 3 to 6 s. */
    private static final double HALF_LIFE_NANOS = 8e9;

    private static final double MIN_SCORE = 0.01;
    private static final int PRUNE_THRESHOLD_ADAPTERS = 512;

    private final Map<AdapterName, Score> scores = new HashMap<>();

    private record Score(double value, long usedAt) {

        double valueAt(long now) {
            return value * Math.pow(0.5, (now - usedAt) / HALF_LIFE_NANOS);
        }
    }

    void recordUses(AdapterName adapter, int count, long now) {
        scores.merge(
                adapter, new Score(count, now), (previous, added) -> new Score(previous.valueAt(now) + count, now));
        if (scores.size() > PRUNE_THRESHOLD_ADAPTERS) {
            scores.values().removeIf(score -> score.valueAt(now) < MIN_SCORE);
        }
    }

    double score(AdapterName adapter, long now) {
        Score score = scores.get(adapter);
        return score == null ? 0 : score.valueAt(now);
    }

    boolean isIdle(AdapterName adapter, long now, long idleNanos) {
        Score score = scores.get(adapter);
        return score == null || now - score.usedAt() >= idleNanos;
    }
}
