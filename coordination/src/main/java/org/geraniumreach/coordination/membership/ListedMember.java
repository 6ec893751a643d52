package org.geraniumreach.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;

/**
 * An instance as the platform's list gives it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance its name
 * @param role what it does
 * @param failureDomain where it is
 * @param address its link address
 * @param leaving whether the platform is taking it away
 */
public record ListedMember(
        InstanceId instance, MemberRole role, FailureDomain failureDomain, InetSocketAddress address, boolean leaving) {

    public ListedMember {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(address, "address");
    }
}
