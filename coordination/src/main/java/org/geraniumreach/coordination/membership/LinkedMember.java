package org.geraniumreach.coordination.membership;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * An instance as it described itself when its link was opened.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance
 * @param role the role of the instance
 * @param failureDomain the failure domain of the instance
 * @param target the target of a companion, empty for an entry
 * @param incarnation the number of its process, which increases with each start
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
