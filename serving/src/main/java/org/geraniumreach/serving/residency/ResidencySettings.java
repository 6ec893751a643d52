package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a companion for managing its target's adapter slots.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param slots the number of adapters that the target can hold, at least 1
 * @param eviction the policy for choosing the adapter to evict
 * @param loading the policy for choosing the next adapter to load
 * @param loadsAtOnce the maximum number of concurrent loads of this companion, at least 1
 * @param loadsFleetWide the number of concurrent loads fleet-wide at which this companion waits for others to finish,
 *     at least 1
 * @param expectedLoad the expected duration of a load before any was measured
 * @param usesHalfLife the half-life of an adapter's use count
 * @param patience how long a request waits for a slot before a busy slot is retired for it; a load waiting longer
 *     ignores the fleet-wide limit
 * @param firstBackoff how long requests for an adapter are refused after its load failed; doubles with each failure
 * @param longestBackoff the maximum back-off
 */
public record ResidencySettings(
        int slots,
        EvictionPolicy eviction,
        LoadPolicy loading,
        int loadsAtOnce,
        int loadsFleetWide,
        Duration expectedLoad,
        Duration usesHalfLife,
        Duration patience,
        Duration firstBackoff,
        Duration longestBackoff) {

    private static final int DEFAULT_LOADS_FLEET_WIDE = 4;

    public ResidencySettings {
        Objects.requireNonNull(eviction, "eviction");
        Objects.requireNonNull(loading, "loading");
        if (slots < 1 || loadsAtOnce < 1 || loadsFleetWide < 1) {
            throw new IllegalArgumentException("count below 1: " + slots + ", " + loadsAtOnce + ", " + loadsFleetWide);
        }
        requirePositive("expectedLoad", expectedLoad);
        requirePositive("usesHalfLife", usesHalfLife);
        requirePositive("patience", patience);
        requirePositive("firstBackoff", firstBackoff);
        requirePositive("longestBackoff", longestBackoff);
    }

    private static void requirePositive(String name, Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
    }

    /**
     * Obtains the default settings.
     *
     * @param slots the number of adapters that the target can hold, at least 1
     * @return the settings, not null
     */
    public static ResidencySettings standard(int slots) {
        return new ResidencySettings(
                slots,
                EvictionPolicy.LEAST_WORTH,
                LoadPolicy.FAIR,
                2,
                DEFAULT_LOADS_FLEET_WIDE,
                Duration.ofMillis(250),
                Duration.ofMinutes(5),
                Duration.ofSeconds(2),
                Duration.ofMillis(500),
                Duration.ofSeconds(30));
    }

    public ResidencySettings withSlots(int count) {
        return new ResidencySettings(
                count,
                eviction,
                loading,
                loadsAtOnce,
                loadsFleetWide,
                expectedLoad,
                usesHalfLife,
                patience,
                firstBackoff,
                longestBackoff);
    }

    public ResidencySettings withEviction(EvictionPolicy policy) {
        return new ResidencySettings(
                slots,
                policy,
                loading,
                loadsAtOnce,
                loadsFleetWide,
                expectedLoad,
                usesHalfLife,
                patience,
                firstBackoff,
                longestBackoff);
    }

    public ResidencySettings withLoading(LoadPolicy policy) {
        return new ResidencySettings(
                slots,
                eviction,
                policy,
                loadsAtOnce,
                loadsFleetWide,
                expectedLoad,
                usesHalfLife,
                patience,
                firstBackoff,
                longestBackoff);
    }

    public ResidencySettings withLoadLimits(int atOnce, int fleetWide) {
        return new ResidencySettings(
                slots,
                eviction,
                loading,
                atOnce,
                fleetWide,
                expectedLoad,
                usesHalfLife,
                patience,
                firstBackoff,
                longestBackoff);
    }

    public ResidencySettings withUsesHalfLife(Duration halfLife) {
        return new ResidencySettings(
                slots,
                eviction,
                loading,
                loadsAtOnce,
                loadsFleetWide,
                expectedLoad,
                halfLife,
                patience,
                firstBackoff,
                longestBackoff);
    }
}
