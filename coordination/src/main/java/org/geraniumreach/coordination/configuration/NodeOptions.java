package org.geraniumreach.coordination.configuration;

import java.time.Duration;

/**
 * How a configuration node works.
 *
 * <p>Invariant: the freshness limit is at least three periods, so that one lost message does not stop the service.
 * Immutable and safe for use by several threads.
 *
 * @param period the time between two polls of a poller, and between two notes to a peer
 * @param freshnessLimit how old the confirmation of the configuration may be
 * @param pollers how many entries poll the table
 * @param recentChanges how many changes are kept for peers; one that lacks more gets a snapshot
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
