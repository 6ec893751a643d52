package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.geraniumreach.coordination.membership.RendezvousHashing;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * Replicates the configuration to one instance and determines how long it counts as current.
 *
 * <p>A few entries poll the table. The other instances receive changes and confirmations from their linked peers, forward
 * them, and poll the table themselves only if no confirmation arrived for two periods. Messages lost by a link are sent
 * again when the next heartbeat shows the difference. Changes that no peer can send are read from the table, or taken from
 * a peer's snapshot while the table is unavailable.
 *
 * <p>Invariants: the revision of {@link #configuration} never decreases, and its content is that of the log at that
 * revision; before {@link #freshUntil} it contains every change that was reported as accepted more than the freshness limit
 * ago. Event methods return the actions to perform. Not safe for use by several threads.
 */
public final class ConfigurationNode {

    private static final int SNAPSHOT_REQUEST_PERIODS = 4;
    private static final String POLLER_HASH_KEY = "configuration-poller";

    private final InstanceId self;
    private final NodeOptions options;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Replica replica;
    private final Freshness freshness;
    private final SnapshotAssembler snapshotAssembler = new SnapshotAssembler();
    private final Map<InstanceId, PeerState> peers = new TreeMap<>();
    private final long periodNanos;

    private boolean hasConfiguration;
    private boolean isPoller;
    private boolean pollInProgress;
    private boolean lastPollFailed;
    private long pollStartedAt;
    private long nextPollAt;
    private long nextHeartbeatAt;
    private long nextSnapshotRequestAt;

    /**
     * Creates a node without a configuration.
     *
     * @param self this instance, not null
     * @param options the timing and limits, not null
     * @param clock the clock, not null
     * @param random the source of jitter, not null
     */
    public ConfigurationNode(InstanceId self, NodeOptions options, MonotonicClock clock, RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.options = Objects.requireNonNull(options, "options");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.replica = new Replica(options.recentChanges());
        this.periodNanos = options.period().toNanos();
        this.freshness = new Freshness(self, options.freshnessLimit().toNanos());
        long now = clock.nanos();
        this.nextPollAt = now;
        this.nextHeartbeatAt = now;
        this.nextSnapshotRequestAt = now;
    }

    public Configuration configuration() {
        return replica.configuration();
    }

    /**
     * Checks whether a configuration was obtained from the table or from a peer.
     *
     * @return true if one was obtained, even an empty one
     */
    public boolean hasConfiguration() {
        return hasConfiguration;
    }

    public boolean isPoller() {
        return isPoller;
    }

    /**
     * Checks whether the store is unreachable from this instance.
     *
     * @return true if the last poll failed, or the current poll has not been answered within a period
     */
    public boolean isStoreUnreachable() {
        return lastPollFailed || pollInProgress && clock.nanos() - pollStartedAt > periodNanos;
    }

    /**
     * Gets the time until which the configuration counts as current.
     *
     * @return a reading of this node's clock, which may be in the past
     */
    public long freshUntil() {
        if (!hasConfiguration) {
            return Freshness.NEVER;
        }
        return freshness.freshUntil(replica.isBehind(), isStoreUnreachable(), clock.nanos());
    }

    /**
     * Counts the other entries that are known to hold a revision.
     *
     * @param revision the revision
     * @return the number of linked entries that reported this revision or a later one
     */
    public int countOtherEntriesHolding(long revision) {
        return (int) peers.values().stream()
                .filter(peer -> peer.isEntry() && peer.heldRevision() >= revision)
                .count();
    }

    /**
     * Handles a new list of entries.
     *
     * @param entries the listed entries that have not announced that they are leaving, including this instance if it is an
     *     entry, not null
     */
    public void onEntriesListed(Set<InstanceId> entries) {
        freshness.setEntries(entries);
        isPoller = RendezvousHashing.choose(POLLER_HASH_KEY, entries, options.pollers())
                .contains(self);
    }

    /**
     * Handles the opening of a link.
     *
     * @param peer the peer, not null
     * @param isEntry whether the peer is an entry
     * @return the actions to perform, not null
     */
    public List<NodeAction> onLinkOpened(InstanceId peer, boolean isEntry) {
        PeerState state = new PeerState(isEntry, clock.nanos());
        peers.put(peer, state);
        return List.of(heartbeat(peer, state));
    }

    /**
     * Handles the closing of a link.
     *
     * @param peer the peer, not null
     */
    public void onLinkClosed(InstanceId peer) {
        peers.remove(peer);
    }

    /**
     * Starts the work that is due. Must be called several times per period.
     *
     * @return the actions to perform, not null
     */
    public List<NodeAction> onTick() {
        long now = clock.nanos();
        List<NodeAction> actions = new ArrayList<>();
        if (isPollDue(now)) {
            actions.add(startPoll(now));
        }
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + heartbeatIntervalNanos();
            peers.forEach((peer, state) -> actions.add(heartbeat(peer, state)));
        }
        if (isSnapshotRequestDue(now)) {
            nextSnapshotRequestAt = now + SNAPSHOT_REQUEST_PERIODS * periodNanos;
            mostAdvancedPeer()
                    .ifPresent(peer -> actions.add(
                            new NodeAction.Send(peer, new NodeMessage.SnapshotRequest(replica.revision()))));
        }
        return actions;
    }

    private boolean isPollDue(long now) {
        if (pollInProgress || now < nextPollAt) {
            return false;
        }
        return isPoller || !hasConfiguration || now - freshness.confirmedAt() >= 2 * periodNanos;
    }

    private boolean isSnapshotRequestDue(long now) {
        boolean awaitsTable = pollInProgress && !isStoreUnreachable();
        return (replica.isBehind() || !hasConfiguration) && !awaitsTable && now >= nextSnapshotRequestAt;
    }

    private NodeAction startPoll(long now) {
        pollInProgress = true;
        pollStartedAt = now;
        return new NodeAction.Poll(replica.revision());
    }

    /* Heartbeats are more frequent while the store is unreachable, because they carry reports over several hops. */
    private long heartbeatIntervalNanos() {
        return isStoreUnreachable() ? periodNanos / 2 : periodNanos;
    }

    /**
     * Handles a completed poll of the table.
     *
     * @param result the result, not null
     * @return the actions to perform, not null
     */
    public List<NodeAction> onPollCompleted(PollResult result) {
        pollInProgress = false;
        lastPollFailed = false;
        schedulePoll();
        replica.recordKnownRevision(result.headRevision());
        result.snapshot().ifPresent(replica::install);
        List<NodeAction> actions = applyEntries(result.entries());
        if (replica.revision() >= result.headRevision()) {
            hasConfiguration = true;
            freshness.recordConfirmation(result.startedAt());
        }
        actions.addAll(shareConfirmation());
        return actions;
    }

    /** Handles a failed poll of the table. */
    public void onPollFailed() {
        pollInProgress = false;
        lastPollFailed = true;
        schedulePoll();
    }

    private void schedulePoll() {
        nextPollAt = clock.nanos() + periodNanos * 3 / 4 + random.nextLong(periodNanos / 2 + 1);
    }

    /**
     * Applies changes that this instance committed to the log.
     *
     * @param entries the changes, not null
     * @return the actions to perform, not null
     */
    public List<NodeAction> onCommitted(Collection<LogEntry> entries) {
        return applyEntries(entries);
    }

    /**
     * Handles a message; one from a peer without an open link is ignored.
     *
     * @param peer the sender, not null
     * @param message the message, not null
     * @return the actions to perform, not null
     */
    public List<NodeAction> onMessage(InstanceId peer, NodeMessage message) {
        PeerState state = peers.get(peer);
        if (state == null) {
            return List.of();
        }
        if (message instanceof NodeMessage.Heartbeat heartbeat) {
            return onHeartbeat(peer, state, heartbeat);
        }
        if (message instanceof NodeMessage.Changes changes) {
            return onChanges(state, changes);
        }
        if (message instanceof NodeMessage.SnapshotRequest request) {
            return answerSnapshotRequest(peer, request.heldRevision());
        }
        return snapshotAssembler
                .addPart((NodeMessage.SnapshotPart) message)
                .map(this::onSnapshot)
                .orElse(List.of());
    }

    private List<NodeAction> onChanges(PeerState state, NodeMessage.Changes changes) {
        replica.recordKnownRevision(changes.highestKnownRevision());
        changes.entries().forEach(entry -> state.recordHeldRevision(entry.revision()));
        return applyEntries(changes.entries());
    }

    private List<NodeAction> onSnapshot(Configuration snapshot) {
        if (!replica.install(snapshot)) {
            return List.of();
        }
        return onConfigurationChanged();
    }

    private List<NodeAction> onHeartbeat(InstanceId peer, PeerState state, NodeMessage.Heartbeat heartbeat) {
        long now = clock.nanos();
        state.recordTimestamp(heartbeat.timestamp(), now);
        state.recordHeldRevision(heartbeat.revision());
        replica.recordKnownRevision(heartbeat.highestKnownRevision());
        state.earliestSendTime(heartbeat.echo(), now).ifPresent(sentAt -> applyReports(peer, state, heartbeat, sentAt));
        List<NodeAction> actions = new ArrayList<>(shareConfirmation());
        if (heartbeat.revision() < replica.revision() && state.maySendChanges(now, periodNanos)) {
            state.recordChangesSent(now);
            replica.entriesAfter(heartbeat.revision())
                    .ifPresent(entries -> actions.add(new NodeAction.Send(
                            peer, new NodeMessage.Changes(replica.highestKnownRevision(), entries))));
        }
        return actions;
    }

    private void applyReports(InstanceId peer, PeerState state, NodeMessage.Heartbeat heartbeat, long sentAt) {
        heartbeat.confirmationAgeNanos().ifPresent(age -> state.recordConfirmation(heartbeat.revision(), sentAt - age));
        if (state.isEntry() && heartbeat.isStoreUnreachable()) {
            freshness.recordUnreachable(peer, sentAt);
        } else if (state.isEntry()) {
            freshness.recordReachable(peer, sentAt);
        }
        heartbeat
                .unreachableReports()
                .forEach(report -> freshness.recordUnreachable(report.entry(), sentAt - report.ageNanos()));
    }

    private List<NodeAction> answerSnapshotRequest(InstanceId peer, long heldRevision) {
        if (heldRevision >= replica.revision()) {
            return List.of();
        }
        Optional<List<LogEntry>> entries = replica.entriesAfter(heldRevision);
        if (entries.isPresent()) {
            return List.of(
                    new NodeAction.Send(peer, new NodeMessage.Changes(replica.highestKnownRevision(), entries.get())));
        }
        List<NodeAction> actions = new ArrayList<>();
        SnapshotAssembler.split(replica.configuration(), SnapshotAssembler.RECORDS_PER_PART)
                .forEach(part -> actions.add(new NodeAction.Send(peer, part)));
        return actions;
    }

    private List<NodeAction> applyEntries(Collection<LogEntry> entries) {
        List<LogEntry> applied = replica.applyInOrder(entries);
        if (applied.isEmpty()) {
            return new ArrayList<>();
        }
        List<NodeAction> actions = new ArrayList<>();
        NodeMessage changes = new NodeMessage.Changes(replica.highestKnownRevision(), applied);
        long now = clock.nanos();
        peers.forEach((peer, state) -> {
            if (state.heldRevision() < replica.revision()) {
                state.recordChangesSent(now);
                actions.add(new NodeAction.Send(peer, changes));
            }
        });
        actions.addAll(onConfigurationChanged());
        return actions;
    }

    private List<NodeAction> onConfigurationChanged() {
        hasConfiguration |= !replica.isBehind();
        List<NodeAction> actions = new ArrayList<>();
        shareConfirmation();
        peers.forEach((peer, state) -> actions.add(heartbeat(peer, state)));
        return actions;
    }

    /* Adopts peers' confirmations that cover the current revision. A confirmation newer by half a period or more is
     * forwarded immediately: if it waited for the regular heartbeat, it would age by up to a period at each hop. */
    private List<NodeAction> shareConfirmation() {
        long newest = Freshness.NEVER;
        for (PeerState state : peers.values()) {
            newest = Math.max(newest, state.confirmationFor(replica.revision()));
        }
        freshness.recordConfirmation(newest);
        long confirmedAt = freshness.confirmedAt();
        List<NodeAction> actions = new ArrayList<>();
        peers.forEach((peer, state) -> {
            if (confirmedAt - state.knownConfirmedAt() >= periodNanos / 2) {
                actions.add(heartbeat(peer, state));
            }
        });
        return actions;
    }

    private NodeAction heartbeat(InstanceId peer, PeerState state) {
        long now = clock.nanos();
        boolean unreachable = isStoreUnreachable();
        List<NodeMessage.UnreachableReport> reports = unreachable ? freshness.unreachableReports(now) : List.of();
        state.recordConfirmationSent(freshness.confirmedAt());
        return new NodeAction.Send(
                peer,
                new NodeMessage.Heartbeat(
                        replica.revision(),
                        replica.highestKnownRevision(),
                        freshness.confirmationAgeNanos(now),
                        unreachable,
                        reports,
                        now,
                        state.echo(now)));
    }

    private Optional<InstanceId> mostAdvancedPeer() {
        return peers.entrySet().stream()
                .filter(peer -> peer.getValue().heldRevision() > replica.revision())
                .max((one, other) -> Long.compare(
                        one.getValue().heldRevision(), other.getValue().heldRevision()))
                .map(Map.Entry::getKey);
    }
}
