package org.geraniumreach.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * An instance as known to this process.
 *
 * <p>Invariant: the incarnation is present exactly while a link with the instance is open; a leaving member accepts no new
 * work. Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance
 * @param role the role of the instance
 * @param failureDomain the failure domain of the instance
 * @param address the address for links to the instance, empty if it is linked but not listed
 * @param target the target of a companion, present while a link is open
 * @param incarnation the number of its process, present while a link is open
 * @param leaving whether the instance or the list announced that it is leaving, or the list dropped it
 */
public record Member(
        InstanceId instance,
        MemberRole role,
        FailureDomain failureDomain,
        Optional<InetSocketAddress> address,
        Optional<TargetId> target,
        OptionalLong incarnation,
        boolean leaving) {

    public Member {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    public boolean isLinked() {
        return incarnation.isPresent();
    }

    public boolean isListed() {
        return address.isPresent();
    }

    /**
     * Checks whether new work may be sent to this member.
     *
     * @return true if a link is open and the member is not leaving
     */
    public boolean acceptsWork() {
        return isLinked() && !leaving;
    }
}
