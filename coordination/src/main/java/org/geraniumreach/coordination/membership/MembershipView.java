package org.geraniumreach.coordination.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * The instances known at a point in time, ordered by name.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class MembershipView {

    private static final MembershipView EMPTY = new MembershipView(new TreeMap<>());

    private final TreeMap<InstanceId, Member> members;

    private MembershipView(TreeMap<InstanceId, Member> members) {
        this.members = members;
    }

    /**
     * Returns the view without members.
     *
     * @return the view, not null
     */
    public static MembershipView empty() {
        return EMPTY;
    }

    /**
     * Creates a view of members.
     *
     * @param members the members by instance, not null
     * @return the view, not null
     */
    public static MembershipView of(Map<InstanceId, Member> members) {
        return new MembershipView(new TreeMap<>(members));
    }

    /**
     * Gets all members.
     *
     * @return the members ordered by name, not null
     */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    public Optional<Member> member(InstanceId instance) {
        return Optional.ofNullable(members.get(instance));
    }

    /**
     * Gets the entries that are listed or linked.
     *
     * @return the entries ordered by name, not null
     */
    public List<Member> entries() {
        return members.values().stream()
                .filter(member -> member.role() == MemberRole.ENTRY)
                .toList();
    }

    /**
     * Gets the companions that accept new work.
     *
     * @return the companions ordered by name, not null
     */
    public List<Member> availableCompanions() {
        return members.values().stream()
                .filter(member -> member.role() == MemberRole.COMPANION && member.acceptsWork())
                .toList();
    }

    /**
     * Finds the companion that accepts new work for a target.
     *
     * @param target the target, not null
     * @return the companion, or empty if none accepts work
     */
    public Optional<Member> availableCompanionFor(TargetId target) {
        return availableCompanions().stream()
                .filter(member -> member.target().filter(target::equals).isPresent())
                .findFirst();
    }
}
