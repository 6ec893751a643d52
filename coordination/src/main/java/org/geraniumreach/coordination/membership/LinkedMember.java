package org.geraniumreach.coordination.membership;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * An instance as it described itself when a link with it was opened.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance its name
 * @param role what it does
 * @param failureDomain where it is
 * @param target a companion's target
 * @param incarnation its process, a higher number at each start
 */
public record LinkedMember(
        InstanceId instance,
        MemberRole role,
        FailureDomain failureDomain,
        Optional<TargetId> target,
        long incarnation) {

    public LinkedMember {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(target, "target");
    }
}
