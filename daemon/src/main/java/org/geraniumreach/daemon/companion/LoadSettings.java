package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.serving.residency.EvictionPolicy;
import org.geraniumreach.serving.residency.LoadPolicy;
import org.geraniumreach.serving.residency.ResidencySettings;

/**
 * Settings for loading and evicting adapters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param eviction the eviction policy
 * @param order the policy that selects the next load
 * @param atOnce the concurrent loads of this companion
 * @param fleetWide the concurrent loads of all companions above which this one postpones its loads
 * @param expected the assumed duration of a load before one was measured
 * @param halfLife the half-life of the weight of past uses
 * @param patience how long a request waits for a slot before an adapter in use is drained for it
 * @param firstBackoff how long requests for an adapter are refused after its load failed once
 * @param longestBackoff the greatest such time, after repeated failures
 */
public record LoadSettings(
        @Setting(value = "least-worth", about = "What to evict: least-worth or least-recently-used.")
                EvictionPolicy eviction,
        @Setting(value = "waiting-work", about = "What to load next: waiting-work or first-come.") LoadPolicy order,
        @Setting(value = "2", least = "1", greatest = "64", about = "How many adapters this companion loads at once.")
                int atOnce,
        @Setting(
                        value = "8",
                        least = "1",
                        greatest = "10000",
                        about = "How many loads of all companions run at full speed; above it this one waits.")
                int fleetWide,
        @Setting(
                        value = "250ms",
                        least = "1ms",
                        greatest = "5m",
                        about = "How long a load takes before one was measured.")
                Duration expected,
        @Setting(value = "1m", least = "1s", greatest = "24h", about = "When a past use of an adapter counts half.")
                Duration halfLife,
        @Setting(
                        value = "2s",
                        least = "1ms",
                        greatest = "5m",
                        about = "How long a request waits for a slot before an adapter in use is let run out for it.")
                Duration patience,
        @Setting(
                        value = "500ms",
                        least = "1ms",
                        greatest = "5m",
                        about = "How long requests on an adapter are refused after its load failed.")
                Duration firstBackoff,
        @Setting(
                        value = "30s",
                        least = "1ms",
                        greatest = "1h",
                        about = "The greatest such time, after repeated failures.")
                Duration longestBackoff) {

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static LoadSettings defaults() {
        ResidencySettings defaults = ResidencySettings.standard(1);
        return new LoadSettings(
                defaults.eviction(),
                defaults.loading(),
                defaults.loadsAtOnce(),
                defaults.loadsFleetWide(),
                defaults.expectedLoad(),
                defaults.usesHalfLife(),
                defaults.patience(),
                defaults.firstBackoff(),
                defaults.longestBackoff());
    }

    ResidencySettings toResidencySettings(int slots) {
        return new ResidencySettings(
                slots, eviction, order, atOnce, fleetWide, expected, halfLife, patience, firstBackoff, longestBackoff);
    }
}
