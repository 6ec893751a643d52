package org.geraniumreach.serving.retry;

import java.time.Duration;

/**
 * When a target is left out, and how it is let back.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param consecutiveFailures the failures in a row that eject
 * @param errorRate the share of failures that ejects, once there are enough requests
 * @param leastRequests the requests within the window that are enough
 * @param window the time over which requests are counted
 * @param firstEjection the time of a first ejection; it doubles with each that follows
 * @param longestEjection the greatest time of an ejection
 * @param letBack the time over which a target's share of requests rises from {@code firstShare} to all
 * @param firstShare the share of requests that a target gets at first, above 0
 * @param greatestEjectedShare the share of targets that may be ejected together
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
     * Obtains the rules that hold unless said otherwise.
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
