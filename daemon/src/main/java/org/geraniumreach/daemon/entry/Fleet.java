package org.geraniumreach.daemon.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.geraniumreach.coordination.membership.Member;
import org.geraniumreach.coordination.membership.MemberRole;
import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Status;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.serving.prefix.PrefixDigest;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.retry.TargetHealth;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.Route;
import org.geraniumreach.serving.routing.RouteRequest;
import org.geraniumreach.serving.routing.Router;
import org.geraniumreach.serving.routing.SentRequest;
import org.geraniumreach.serving.routing.TargetStatus;

/**
 * Maintains the targets that this entry can send requests to, from membership, configuration records and companion
 * statuses.
 *
 * <p>Invariant: requests are routed to a target only while its record exists and a link to its companion is open and
 * not leaving. Safe for use by several threads.
 */
final class Fleet implements FrameHandler {

    private final FleetView view;
    private final Router router;
    private final TargetHealth health;
    private final PrefixDirectory prefixes;
    private final Set<TargetId> knownTargets = new HashSet<>();
    private final CompanionStatuses companionStatuses = new CompanionStatuses();
    private final Map<InstanceId, Long> fences = new ConcurrentHashMap<>();
    private MembershipView membership = MembershipView.empty();
    private Configuration configuration = Configuration.empty();

    Fleet(FleetView view, Router router, TargetHealth health, PrefixDirectory prefixes) {
        this.view = view;
        this.router = router;
        this.health = health;
        this.prefixes = prefixes;
    }

    /**
     * Updates the targets from the membership and the configuration records.
     *
     * @param present the current members, not null
     * @param records the configuration, not null
     */
    synchronized void refresh(MembershipView present, Configuration records) {
        membership = present;
        configuration = records;
        Map<TargetId, Member> owners = owners();
        owners.forEach((target, member) -> configuration.target(target).ifPresent(record -> addTarget(record, member)));
        knownTargets.stream()
                .filter(target -> !owners.containsKey(target))
                .toList()
                .forEach(this::removeTarget);
        fences.keySet().removeIf(instance -> membership.member(instance).isEmpty());
    }

    /**
     * Finds the companion of each target. If two companions claim one target, the one with the higher fencing token
     * owns it: the other was replaced while it was frozen or partitioned, and refuses all work once it detects this.
     */
    private Map<TargetId, Member> owners() {
        Map<TargetId, Member> owners = new HashMap<>();
        for (Member member : membership.availableCompanions()) {
            member.target()
                    .filter(target -> configuration.target(target).isPresent())
                    .ifPresent(target -> owners.merge(target, member, this::withHigherFence));
        }
        return owners;
    }

    private Member withHigherFence(Member one, Member other) {
        return fenceOf(other.instance()) > fenceOf(one.instance()) ? other : one;
    }

    private long fenceOf(InstanceId instance) {
        return fences.getOrDefault(instance, 0L);
    }

    private void addTarget(Target target, Member member) {
        boolean unchanged = view.find(target.id())
                .filter(known -> known.instance().equals(member.instance()))
                .isPresent();
        if (unchanged) {
            return;
        }
        knownTargets.add(target.id());
        view.join(target, member.instance());
        health.add(target.id());
        companionStatuses
                .find(member.instance())
                .filter(status -> status.target().equals(target.id()))
                .ifPresent(view::apply);
    }

    private void removeTarget(TargetId target) {
        knownTargets.remove(target);
        view.leave(target);
        health.remove(target);
        prefixes.invalidate(target);
    }

    @Override
    public void onOpened(Peer peer) {
        updateFence(peer, peer.hello().getFence());
    }

    private void updateFence(Peer peer, long fence) {
        InstanceId instance = InstanceId.of(peer.hello().getInstance());
        if (fence > fenceOf(instance)) {
            fences.put(instance, fence);
            refresh();
        }
    }

    private synchronized void refresh() {
        refresh(membership, configuration);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        TargetStatus status;
        try {
            status = toTargetStatus(frame.getStatus());
        } catch (IllegalArgumentException invalid) {
            peer.close("invalid status: " + invalid.getMessage());
            return;
        }
        companionStatuses.update(InstanceId.of(peer.hello().getInstance()), peer, status);
        updateFence(peer, frame.getStatus().getFence());
        if (isOwner(status.target(), peer)) {
            view.apply(status);
        }
    }

    /**
     * A status from a replaced companion, for example that it is draining, must not be applied as that of its
     * successor.
     */
    private boolean isOwner(TargetId target, Peer peer) {
        return view.find(target)
                .filter(known -> known.instance().value().equals(peer.hello().getInstance()))
                .isPresent();
    }

    @Override
    public void onClosed(Peer peer, String reason) {
        companionStatuses.remove(InstanceId.of(peer.hello().getInstance()), peer);
    }

    private static TargetStatus toTargetStatus(Status status) {
        return new TargetStatus(
                TargetId.of(status.getTarget()),
                status.getSequence(),
                status.getEngineIncarnation(),
                status.getRunning(),
                status.getQueued(),
                status.getQueuedTokens(),
                status.getConcurrencyLimit(),
                status.getSlots(),
                status.getComplete(),
                references(status.getResidentList()),
                references(status.getRemovedList()),
                references(status.getLoadingList()),
                status.getDraining(),
                status.getTokensPerSecond());
    }

    private static Set<AdapterReference> references(List<String> texts) {
        return texts.stream()
                .map(AdapterReference::parse)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
    }

    Optional<Route> route(RouteRequest request) {
        return router.route(request);
    }

    SentRequest recordSent(TargetId target) {
        return view.recordSent(target);
    }

    void recordPrefixResult(PrefixDigest prefix, TargetId target, boolean hit) {
        prefixes.onRequestEnded(prefix, target, hit);
    }

    void recordSuccess(TargetId target) {
        if (health.onSuccess(target) == TargetHealth.Change.RESTORED) {
            EventLog.write(EventCode.TARGET_RESTORED, "{}", target);
        }
    }

    void recordFailure(TargetId target) {
        if (health.onFailure(target) == TargetHealth.Change.EJECTED) {
            EventLog.write(EventCode.TARGET_EJECTED, "{}", target);
        }
    }

    /**
     * Counts the companions that accept work.
     *
     * @param membership the current members, not null
     * @return the number
     */
    static long countCompanions(MembershipView membership) {
        return membership.members().stream()
                .filter(member -> member.role() == MemberRole.COMPANION && member.acceptsWork())
                .count();
    }
}
