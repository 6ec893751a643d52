package org.geraniumreach.serving.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * What a router weighs against what.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param loadBound the load, in parts of the mean, above which other targets are tried; at least 1
 * @param homes how many targets of an adapter's order may take it before any other
 * @param maximumHops the targets that a request may try
 * @param loadTime the time of a load at full speed
 * @param loadsAtFullSpeed the loads in transit fleet-wide at full speed
 * @param storeLoadsPerSecond the loads that the weight store allows
 * @param replicaFill the part of a target's limit that one adapter may fill before another target may hold it, above 0
 * @param replicaCost what another replica costs beside the load, in load times: it takes a slot from another adapter
 * @param serviceTime how long a request runs when the target is not crowded
 * @param crowding how much a full target slows a request, in parts of the service time
 * @param domainCost what it costs to leave the failure domain
 * @param prefixTime what a cached prefix saves
 */
public record RoutingWeights(
        double loadBound,
        int homes,
        int maximumHops,
        Duration loadTime,
        int loadsAtFullSpeed,
        double storeLoadsPerSecond,
        double replicaFill,
        double replicaCost,
        Duration serviceTime,
        double crowding,
        Duration domainCost,
        Duration prefixTime) {

    public RoutingWeights {
        requireAtLeast("loadBound", loadBound, 1);
        requireAtLeast("homes", homes, 1);
        requireAtLeast("maximumHops", maximumHops, 1);
        requireAtLeast("loadsAtFullSpeed", loadsAtFullSpeed, 1);
        requireAtLeast("storeLoadsPerSecond", storeLoadsPerSecond, Double.MIN_VALUE);
        requireAtLeast("replicaFill", replicaFill, Double.MIN_VALUE);
        requireAtLeast("replicaCost", replicaCost, 0);
        requireAtLeast("crowding", crowding, 0);
        requireNotNegative("loadTime", loadTime);
        requireNotNegative("serviceTime", serviceTime);
        requireNotNegative("domainCost", domainCost);
        requireNotNegative("prefixTime", prefixTime);
    }

    private static void requireAtLeast(String name, double value, double least) {
        if (!(value >= least)) {
            throw new IllegalArgumentException(name + " below " + least + ": " + value);
        }
    }

    private static void requireNotNegative(String name, Duration value) {
        if (Objects.requireNonNull(value, name).isNegative()) {
            throw new IllegalArgumentException(name + " is negative: " + value);
        }
    }

    /**
     * Obtains the weights where stalls on loads and full batches count most.
     *
     * @return the weights, not null
     */
    public static RoutingWeights fewestStalls() {
        return new RoutingWeights(
                1.5,
                1,
                3,
                Duration.ofMillis(250),
                8,
                4.5,
                0.2,
                2.0,
                Duration.ofSeconds(2),
                0.25,
                Duration.ofMillis(1),
                Duration.ofMillis(100));
    }

    /**
     * Obtains the weights where the worst-served client account counts most.
     *
     * @return the weights, not null
     */
    public static RoutingWeights worstAccountFirst() {
        return new RoutingWeights(
                1.25,
                1,
                3,
                Duration.ofMillis(250),
                8,
                2.0,
                0.2,
                1.0,
                Duration.ofSeconds(2),
                0.5,
                Duration.ofMillis(2),
                Duration.ofMillis(100));
    }
}
