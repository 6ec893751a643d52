package org.geraniumreach.serving.retry;

import java.time.Duration;

/**
 * The rules for ejecting a target from routing and restoring it.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param consecutiveFailures the number of consecutive failures that ejects a target, at least 1
 * @param errorRate the share of failed requests that ejects a target, above 0, once there are enough requests
 * @param leastRequests the minimum number of requests within the window for the error rate to apply, at least 1
 * @param window the time over which requests are counted
 * @param firstEjection the duration of the first ejection; doubles with each further one
 * @param longestEjection the maximum duration of an ejection
 * @param letBack the time over which a recovering target's share of requests rises from {@code firstShare} to all
 * @param firstShare the initial share of requests that a recovering target gets, above 0
 * @param greatestEjectedShare the maximum share of targets that may be ejected at the same time, above 0
 */
public record EjectionRules(
        int consecutiveFailures,
        double errorRate,
        int leastRequests,
        Duration window,
        Duration firstEjection,
        Duration longestEjection,
        Duration letBack,
        double firstShare,
        double greatestEjectedShare) {

    public EjectionRules {
        if (consecutiveFailures < 1 || leastRequests < 1) {
            throw new IllegalArgumentException("counts below 1: " + consecutiveFailures + ", " + leastRequests);
        }
        requireShare("errorRate", errorRate);
        requireShare("firstShare", firstShare);
        requireShare("greatestEjectedShare", greatestEjectedShare);
        requirePositive("window", window);
        requirePositive("firstEjection", firstEjection);
        requirePositive("letBack", letBack);
        if (longestEjection.compareTo(firstEjection) < 0) {
            throw new IllegalArgumentException("longestEjection below firstEjection: " + longestEjection);
        }
    }

    private static void requireShare(String name, double value) {
        if (!(value > 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " outside 0 to 1: " + value);
        }
    }

    private static void requirePositive(String name, Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
    }

    /**
     * Obtains the default rules.
     *
     * @return the rules, not null
     */
    public static EjectionRules standard() {
        return new EjectionRules(
                5,
                0.5,
                20,
                Duration.ofSeconds(10),
                Duration.ofSeconds(2),
                Duration.ofSeconds(60),
                Duration.ofSeconds(10),
                0.1,
                0.5);
    }
}
