package org.geraniumreach.serving.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * The weights with which a router computes the cost of a target.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param loadBound the load, as a multiple of the mean load, above which other targets are considered; at least 1
 * @param homes the number of home targets of an adapter, the first ones in its rendezvous order; at least 1
 * @param maximumHops the maximum number of targets that a request may try, at least 1
 * @param loadTime the duration of an adapter load at full speed
 * @param loadsAtFullSpeed the number of concurrent loads fleet-wide up to which each runs at full speed
 * @param storeLoadsPerSecond the maximum rate of loads from the weight store
 * @param replicaFill the share of a target's concurrency limit that one adapter may use before another target may hold
 *     it, above 0
 * @param replicaCost the cost of a further replica beside its load, as a multiple of the load time, since it takes a
 *     slot from another adapter
 * @param serviceTime the running time of a request at a target that is not crowded
 * @param crowding the slowdown of a request at a full target, as a share of the service time
 * @param domainCost the cost of leaving the failure domain
 * @param prefixTime the time that a cached prefix saves
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

    private static void requireAtLeast(String name, double value, double minimum) {
        if (!(value >= minimum)) {
            throw new IllegalArgumentException(name + " below " + minimum + ": " + value);
        }
    }

    private static void requireNotNegative(String name, Duration value) {
        if (Objects.requireNonNull(value, name).isNegative()) {
            throw new IllegalArgumentException(name + " is negative: " + value);
        }
    }

    /**
     * Obtains the weights that minimize stalls on adapter loads and keep batches full.
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
     * Obtains the weights that favour the worst-served client account.
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
