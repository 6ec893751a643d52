package org.geraniumreach.daemon.entry;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.serving.retry.EjectionRules;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;

/**
 * Settings of the choice of targets and of retries.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy the routing policy
 * @param preset the preset of the routing weights
 * @param rememberedAdapters the number of adapters whose order of targets is cached
 * @param tries the most attempts of one request
 * @param retryRatio the retries allowed per success
 * @param retryFloorPerSecond the retries allowed per second without any success
 * @param firstBackoff the upper bound of the back-off before the first retry
 * @param longestBackoff the upper bound of the back-off before any retry
 * @param prefixHalfLife the half-life of the estimate that a prefix is still cached at a target
 * @param rememberedPrefixes the number of conversations whose prefix is remembered
 */
public record RoutingSettings(
        @Setting(value = "affinity", about = "How a target is chosen.") RoutingPolicy policy,
        @Setting(value = "fewest-stalls", about = "What the weights are for.") Preset preset,
        @Setting(value = "32768", least = "1", greatest = "1000000", about = "The adapters whose order is kept.")
                int rememberedAdapters,
        @Setting(value = "3", least = "1", greatest = "10", about = "The most tries of one request.") int tries,
        @Setting(value = "0.1", least = "0", greatest = "1", about = "The retries allowed for each success.")
                double retryRatio,
        @Setting(value = "1", least = "0", greatest = "1000", about = "The retries a second allowed in any case.")
                double retryFloorPerSecond,
        @Setting(
                        value = "20ms",
                        least = "0ms",
                        greatest = "10s",
                        about = "The bound on the wait before the first retry.")
                Duration firstBackoff,
        @Setting(value = "1s", least = "1ms", greatest = "1m", about = "The bound on the wait before any retry.")
                Duration longestBackoff,
        @Setting(
                        value = "2m",
                        least = "1s",
                        greatest = "1h",
                        about = "The time in which a belief of a cached prefix halves.")
                Duration prefixHalfLife,
        @Setting(
                        value = "20000",
                        least = "1",
                        greatest = "1000000",
                        about = "The conversations whose prefix is remembered.")
                int rememberedPrefixes) {

    /** The most unused retries that the retry budget accumulates. */
    static final double MAXIMUM_SAVED_RETRIES = 10;

    /** Presets of the routing weights. */
    public enum Preset {
        /** Minimises stalls on adapter loads and full batches. */
        FEWEST_STALLS,
        /** Favours the worst-served client account and avoids unjustified refusals. */
        WORST_ACCOUNT_FIRST
    }

    RoutingWeights weights() {
        return preset == Preset.FEWEST_STALLS ? RoutingWeights.fewestStalls() : RoutingWeights.worstAccountFirst();
    }

    EjectionRules ejection() {
        return EjectionRules.standard();
    }
}
