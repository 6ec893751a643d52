package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Objects;

/**
 * How a companion manages its target's slots.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param slots the adapters that the target can hold, at least 1
 * @param eviction how to choose what to evict
 * @param loading how to choose what to load next
 * @param loadsAtOnce the loads that this companion may have in transit, at least 1
 * @param loadsFleetWide the loads in transit fleet-wide above which this companion waits for others to finish, at least 1
 * @param expectedLoad the time of a load before any was measured
 * @param usesHalfLife the time in which a past use loses half its weight
 * @param patience how long a request waits for a slot before a resident adapter in use is let run out for it
 * @param firstBackoff how long requests on an adapter are refused after its load failed; doubles with each failure
 * @param longestBackoff the greatest such time
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
     * Obtains the settings that hold unless said otherwise.
     *
     * @param slots the adapters that the target can hold, at least 1
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

    public ResidencySettings withLoadsInTransit(int here, int fleetWide) {
        return new ResidencySettings(
                slots,
                eviction,
                loading,
                here,
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
