package org.geraniumreach.coordination.membership;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * An instance as this process sees it.
 *
 * <p>Invariant: the incarnation is present exactly while a link with the instance is open; a member that is leaving takes
 * no new work. Immutable and safe for use by several threads.
 *
 * @param instance its name
 * @param role what it does
 * @param failureDomain where it is
 * @param address its link address, empty if it is connected but not listed
 * @param target a companion's target, known while a link is open
 * @param incarnation its process, known while a link is open
 * @param leaving whether it or the list said that it leaves
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
     * Queries whether new work may be sent to this member.
     *
     * @return true if a link with it is open and it is not leaving
     */
    public boolean takesWork() {
        return isLinked() && !leaving;
    }
}
