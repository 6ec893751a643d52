package org.geraniumreach.daemon.configuration;

import java.time.Duration;

import org.geraniumreach.coordination.configuration.NodeOptions;
import org.geraniumreach.daemon.settings.ConsistentSettings;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the configuration's replication, which must be equal at all instances of a fleet.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param period the interval between two polls of a poller, and between two heartbeats to a peer
 * @param freshnessLimit the maximum age of the confirmation of the configuration, at least three periods
 * @param pollers the number of entries that poll the table
 * @param submissionLimit how long a submission is retried
 * @param holderLimit how long an accepted change waits until another entry holds it
 * @param compactionChanges the number of changes after which a new snapshot is written to the table
 */
public record ConfigurationSettings(
        @Setting(
                        value = "1s",
                        least = "50ms",
                        greatest = "30s",
                        about = "The time between two polls of a poller, and between two notes to a peer.")
                Duration period,
        @Setting(
                        value = "4s",
                        least = "150ms",
                        greatest = "5m",
                        about = "How old the confirmation of the configuration may be, at least three periods.")
                Duration freshnessLimit,
        @Setting(value = "3", least = "1", greatest = "100", about = "How many entries poll the table.") int pollers,
        @Setting(value = "5s", least = "100ms", greatest = "1m", about = "How long a submission is tried.")
                Duration submissionLimit,
        @Setting(
                        value = "1s",
                        least = "0ms",
                        greatest = "30s",
                        about = "How long an accepted change waits for another entry to hold it.")
                Duration holderLimit,
        @Setting(
                        value = "500",
                        least = "10",
                        greatest = "100000",
                        about = "After how many changes a new snapshot is written to the table.")
                int compactionChanges)
        implements ConsistentSettings {

    @Override
    public void requireConsistent() {
        nodeOptions();
    }

    NodeOptions nodeOptions() {
        return new NodeOptions(period, freshnessLimit, pollers, compactionChanges);
    }
}
