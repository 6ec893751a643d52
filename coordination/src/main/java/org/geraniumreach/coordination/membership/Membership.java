package org.geraniumreach.coordination.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.geraniumreach.model.InstanceId;

/**
 * Merges the lagging instance list, open links and the instances' own words into one view.
 *
 * <p>Invariants: an instance takes new work only while a link with it is open, so one that is lost gets none from that
 * moment; one that said that it leaves takes none until a later incarnation says Hello, whatever the list says meanwhile; one
 * that the list has dropped takes none, while one that the list does not show yet does. Not safe for use by several threads.
 */
public final class Membership {

    /** How many processes that left are remembered; beyond it a process left so long ago that its list entry is gone too. */
    private static final int MAX_LEFT_INCARNATIONS = 4096;

    private final Map<InstanceId, ListedMember> listedMembers = new TreeMap<>();
    private final Map<InstanceId, LinkedMember> linkedMembers = new TreeMap<>();
    private final Map<InstanceId, Long> leftIncarnations = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, Long> eldest) {
            return size() > MAX_LEFT_INCARNATIONS;
        }
    };
    private final Set<InstanceId> droppedFromList = new TreeSet<>();
    private final InstanceId self;
    private MembershipView view = MembershipView.empty();

    /**
     * Makes a membership that knows nobody.
     *
     * @param self this instance, which is no member of its own view, not null
     */
    public Membership(InstanceId self) {
        this.self = self;
    }

    public MembershipView view() {
        return view;
    }

    /**
     * Takes a reading of the list. An empty one is passed over: it would stop all work at once, and the reader itself is on
     * a list that is right.
     *
     * @param members the instances listed, not null
     * @return the view, not null
     */
    public MembershipView listed(Collection<ListedMember> members) {
        if (members.isEmpty()) {
            return view;
        }
        droppedFromList.addAll(listedMembers.keySet());
        listedMembers.clear();
        members.stream()
                .filter(member -> !member.instance().equals(self))
                .forEach(member -> listedMembers.put(member.instance(), member));
        droppedFromList.removeAll(listedMembers.keySet());
        droppedFromList.retainAll(linkedMembers.keySet());
        return rebuildView();
    }

    /**
     * Tells that a link is open.
     *
     * @param member the other end, not null
     * @return the view, not null
     */
    public MembershipView opened(LinkedMember member) {
        LinkedMember before = linkedMembers.put(member.instance(), member);
        if (before == null || before.incarnation() != member.incarnation()) {
            droppedFromList.remove(member.instance());
        }
        return rebuildView();
    }

    /**
     * Tells that the last link with an instance is closed.
     *
     * @param instance the instance, not null
     * @return the view, not null
     */
    public MembershipView closed(InstanceId instance) {
        linkedMembers.remove(instance);
        droppedFromList.remove(instance);
        return rebuildView();
    }

    /**
     * Tells that an instance said that it leaves.
     *
     * @param instance the instance, not null
     * @param incarnation the process that said so
     * @return the view, not null
     */
    public MembershipView left(InstanceId instance, long incarnation) {
        leftIncarnations.merge(instance, incarnation, Math::max);
        return rebuildView();
    }

    private MembershipView rebuildView() {
        Map<InstanceId, Member> members = new HashMap<>();
        listedMembers.forEach((instance, member) -> members.put(instance, memberFromList(member)));
        linkedMembers.forEach((instance, member) -> members.putIfAbsent(instance, memberFromLink(member)));
        view = MembershipView.of(members);
        return view;
    }

    private Member memberFromList(ListedMember member) {
        Optional<LinkedMember> link = Optional.ofNullable(linkedMembers.get(member.instance()));
        return new Member(
                member.instance(),
                member.role(),
                member.failureDomain(),
                Optional.of(member.address()),
                link.flatMap(LinkedMember::target),
                link.map(open -> OptionalLong.of(open.incarnation())).orElse(OptionalLong.empty()),
                member.leaving() || hasLeft(member.instance()));
    }

    private Member memberFromLink(LinkedMember member) {
        return new Member(
                member.instance(),
                member.role(),
                member.failureDomain(),
                Optional.empty(),
                member.target(),
                OptionalLong.of(member.incarnation()),
                droppedFromList.contains(member.instance()) || hasLeft(member.instance()));
    }

    /**
     * Queries whether an instance's last known process said that it leaves; it takes no submissions then either.
     *
     * @param instance the instance, not null
     * @return true if it did
     */
    public boolean hasLeft(InstanceId instance) {
        Long left = leftIncarnations.get(instance);
        LinkedMember open = linkedMembers.get(instance);
        return left != null && (open == null || open.incarnation() <= left);
    }
}
