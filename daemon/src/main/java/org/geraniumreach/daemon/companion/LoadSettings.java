package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.serving.residency.EvictionPolicy;
import org.geraniumreach.serving.residency.LoadPolicy;
import org.geraniumreach.serving.residency.ResidencySettings;

/**
 * Settings of the loading and evicting of adapters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param eviction what to evict
 * @param order what to load next
 * @param atOnce the loads of this companion at once
 * @param fleetWide the loads of all companions at once above which this one waits
 * @param expected how long a load takes before one was measured
 * @param halfLife when a past use counts half
 * @param patience how long a request waits for a slot before an adapter in use is let run out
 * @param firstBackoff how long requests on an adapter are refused after its load failed
 * @param longestBackoff the greatest such time
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
        ResidencySettings standard = ResidencySettings.standard(1);
        return new LoadSettings(
                standard.eviction(),
                standard.loading(),
                standard.loadsAtOnce(),
                standard.loadsFleetWide(),
                standard.expectedLoad(),
                standard.usesHalfLife(),
                standard.patience(),
                standard.firstBackoff(),
                standard.longestBackoff());
    }

    ResidencySettings toResidencySettings(int slots) {
        return new ResidencySettings(
                slots, eviction, order, atOnce, fleetWide, expected, halfLife, patience, firstBackoff, longestBackoff);
    }
}
