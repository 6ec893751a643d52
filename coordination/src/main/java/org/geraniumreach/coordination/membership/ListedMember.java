package org.geraniumreach.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;

/**
 * An instance as reported by the platform's instance list.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance
 * @param role the role of the instance
 * @param failureDomain the failure domain of the instance
 * @param address the address for links to the instance
 * @param leaving whether the platform is removing the instance
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
