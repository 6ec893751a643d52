package org.geraniumreach.daemon.budget;

import java.util.List;

import org.geraniumreach.ports.ListedInstance;

/**
 * The entries in the platform's instance list, with the time of the reading.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestedAtNanos the monotonic clock in nanoseconds before the list was requested
 * @param entries the listed entries, including those that are leaving
 */
public record EntryListReading(long requestedAtNanos, List<ListedInstance> entries) {

    public EntryListReading {
        entries = List.copyOf(entries);
    }
}
