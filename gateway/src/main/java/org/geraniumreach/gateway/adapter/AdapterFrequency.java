package org.geraniumreach.gateway.adapter;

import java.util.HashMap;
import java.util.Map;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * How much adapters have been used, recent uses counting most.
 *
 * <p>Invariant: what has faded is forgotten, so the number of adapters remembered is bounded by the uses of a few half-lives.
 * Confined to the event loop.
 */
final class AdapterFrequency {

    /** Demand moves on within 3 to 6 s, so that uses of 8 s ago count half. */
    private static final double HALF_LIFE_NANOS = 8e9;

    private static final double FORGOTTEN = 0.01;
    private static final int LOOK_THROUGH = 512;

    private final Map<AdapterName, Score> scores = new HashMap<>();

    private record Score(double value, long usedAt) {

        double at(long now) {
            return value * Math.pow(0.5, (now - usedAt) / HALF_LIFE_NANOS);
        }
    }

    void used(AdapterName adapter, int count, long now) {
        scores.merge(adapter, new Score(count, now), (old, added) -> new Score(old.at(now) + count, now));
        if (scores.size() > LOOK_THROUGH) {
            scores.values().removeIf(score -> score.at(now) < FORGOTTEN);
        }
    }

    double score(AdapterName adapter, long now) {
        Score score = scores.get(adapter);
        return score == null ? 0 : score.at(now);
    }

    boolean isIdle(AdapterName adapter, long now, long idleNanos) {
        Score score = scores.get(adapter);
        return score == null || now - score.usedAt() >= idleNanos;
    }
}
