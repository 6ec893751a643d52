package org.geraniumreach.coordination.configuration;

import java.time.Duration;

/**
 * The timing and limits of a configuration node.
 *
 * <p>Invariant: the freshness limit is at least three periods, so that one lost message does not make the configuration
 * stale. Immutable and safe for use by several threads.
 *
 * @param period the time between two polls by a poller, and between two heartbeats to a peer
 * @param freshnessLimit the maximum age of a confirmation for the configuration to count as current
 * @param pollers the number of entries that poll the table
 * @param recentChanges the number of changes kept for peers; a peer that lacks more gets a snapshot
 */
public record NodeOptions(Duration period, Duration freshnessLimit, int pollers, int recentChanges) {

    private static final int MIN_FRESHNESS_PERIODS = 3;

    public NodeOptions {
        if (period.isZero() || period.isNegative()) {
            throw new IllegalArgumentException("period is not positive: " + period);
        }
        if (freshnessLimit.compareTo(period.multipliedBy(MIN_FRESHNESS_PERIODS)) < 0) {
            throw new IllegalArgumentException("freshness limit " + freshnessLimit + " is below "
                    + MIN_FRESHNESS_PERIODS + " periods of " + period);
        }
        if (pollers < 1) {
            throw new IllegalArgumentException("pollers below 1: " + pollers);
        }
        if (recentChanges < 1) {
            throw new IllegalArgumentException("recent changes below 1: " + recentChanges);
        }
    }
}
