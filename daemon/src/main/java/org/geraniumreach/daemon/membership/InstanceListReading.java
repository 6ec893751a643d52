package org.geraniumreach.daemon.membership;

import java.util.List;

import org.geraniumreach.ports.ListedInstance;

/**
 * A reading of the platform's instance list.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param askedNanos the monotonic clock before the list was asked for
 * @param instances the instances listed
 */
public record InstanceListReading(long askedNanos, List<ListedInstance> instances) {

    public InstanceListReading {
        instances = List.copyOf(instances);
    }
}
