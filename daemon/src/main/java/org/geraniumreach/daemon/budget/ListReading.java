package org.geraniumreach.daemon.budget;

import java.util.List;

import org.geraniumreach.ports.ListedInstance;

/**
 * The entries on the platform's list, with the time of the reading.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestedAtNanos the reading of the monotonic clock before the list was asked for
 * @param entries the entries listed, those that are leaving among them
 */
public record ListReading(long requestedAtNanos, List<ListedInstance> entries) {

    public ListReading {
        entries = List.copyOf(entries);
    }
}
