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
 * @param role the process that runs on it
 * @param failureDomain its failure domain
 * @param linkAddress the address at which other processes of the system connect to it
 * @param leaving whether the platform is removing it
 */
public record ListedInstance(
        InstanceId instance, Role role, FailureDomain failureDomain, InetSocketAddress linkAddress, boolean leaving) {

    public ListedInstance {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }

    /** The process that runs on an instance. */
    public enum Role {
        ENTRY,
        COMPANION
    }
}
