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
 * Merges the delayed instance list, the open links and the instances' leave announcements into one view.
 *
 * <p>Invariants: an instance accepts new work only while a link with it is open, so a lost instance gets none; an instance
 * that announced that it is leaving accepts none until a later incarnation opens a link, whatever the list shows; an
 * instance dropped from the list accepts none, but one not yet listed does. Not safe for use by several threads.
 */
public final class Membership {

    /** The number of leave announcements kept; a process beyond it left so long ago that the list no longer shows it. */
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
     * Creates a membership without members.
     *
     * @param self this instance, which is not a member of its own view, not null
     */
    public Membership(InstanceId self) {
        this.self = self;
    }

    public MembershipView view() {
        return view;
    }

    /**
     * Handles a new instance list. An empty list is ignored: it would stop all work, and a correct list contains at least
     * this instance.
     *
     * @param members the listed instances, not null
     * @return the new view, not null
     */
    public MembershipView onListRead(Collection<ListedMember> members) {
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
     * Handles the opening of a link.
     *
     * @param member the peer, not null
     * @return the new view, not null
     */
    public MembershipView onLinkOpened(LinkedMember member) {
        LinkedMember previous = linkedMembers.put(member.instance(), member);
        if (previous == null || previous.incarnation() != member.incarnation()) {
            droppedFromList.remove(member.instance());
        }
        return rebuildView();
    }

    /**
     * Handles the closing of the last link with an instance.
     *
     * @param instance the instance, not null
     * @return the new view, not null
     */
    public MembershipView onLinkClosed(InstanceId instance) {
        linkedMembers.remove(instance);
        droppedFromList.remove(instance);
        return rebuildView();
    }

    /**
     * Handles an instance's announcement that it is leaving.
     *
     * @param instance the instance, not null
     * @param incarnation the incarnation that made the announcement
     * @return the new view, not null
     */
    public MembershipView onLeaving(InstanceId instance, long incarnation) {
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
     * Checks whether the last known incarnation of an instance announced that it is leaving. Such an instance accepts no
     * submissions either.
     *
     * @param instance the instance, not null
     * @return true if it announced that it is leaving
     */
    public boolean hasLeft(InstanceId instance) {
        Long leftIncarnation = leftIncarnations.get(instance);
        LinkedMember open = linkedMembers.get(instance);
        return leftIncarnation != null && (open == null || open.incarnation() <= leftIncarnation);
    }
}
