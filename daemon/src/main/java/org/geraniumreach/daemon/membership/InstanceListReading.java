package org.geraniumreach.daemon.membership;

import java.util.List;

import org.geraniumreach.ports.ListedInstance;

/**
 * A reading of the platform's instance list.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestedAtNanos the monotonic clock in nanoseconds before the list was requested
 * @param instances the listed instances
 */
public record InstanceListReading(long requestedAtNanos, List<ListedInstance> instances) {

    public InstanceListReading {
        instances = List.copyOf(instances);
    }
}
