package org.geraniumreach.daemon.entry;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.serving.retry.EjectionRules;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;

/**
 * How targets are chosen, and when a request is tried again.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy how a target is chosen
 * @param preset what the weights are for
 * @param rememberedAdapters the adapters whose order of targets is kept
 * @param tries the most tries of one request
 * @param retryRatio the retries allowed for each success
 * @param retryFloorPerSecond the retries a second allowed without any success
 * @param firstBackoff the bound on the wait before the first retry
 * @param longestBackoff the bound on the wait before any retry
 * @param prefixHalfLife the time in which a belief of a cached prefix halves
 * @param rememberedPrefixes the conversations whose prefix is remembered
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

    /** The retries that may be saved up. */
    static final double MAXIMUM_SAVED_RETRIES = 10;

    /** What counts most. */
    public enum Preset {
        /** Stalls on loads and full batches count most. */
        FEWEST_STALLS,
        /** The worst-served client account and wrongful refusals count most. */
        WORST_ACCOUNT_FIRST
    }

    RoutingWeights weights() {
        return preset == Preset.FEWEST_STALLS ? RoutingWeights.fewestStalls() : RoutingWeights.worstAccountFirst();
    }

    EjectionRules ejection() {
        return EjectionRules.standard();
    }
}
