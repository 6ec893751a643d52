package org.geraniumreach.ports;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;

/**
 * An instance as the platform lists it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance its name
 * @param role what runs there
 * @param failureDomain where it is
 * @param linkAddress where other processes of the system reach it
 * @param leaving whether the platform is taking it away
 */
public record ListedInstance(
        InstanceId instance, Role role, FailureDomain failureDomain, InetSocketAddress linkAddress, boolean leaving) {

    public ListedInstance {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }

    /** What runs on an instance. */
    public enum Role {
        ENTRY,
        COMPANION
    }
}
