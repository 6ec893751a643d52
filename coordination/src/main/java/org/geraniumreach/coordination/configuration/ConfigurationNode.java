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

import org.geraniumreach.coordination.membership.Rendezvous;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * Keeps one instance's configuration up to date and knows how current it is.
 *
 * <p>A few entries poll the table; the others hear of changes and confirmations from the peers that they have links with,
 * hand them on, and poll for themselves only when nothing came for two periods. What a link lost is sent again when the
 * next note shows the difference; what no peer can give comes from the table, and while that is down from a peer's snapshot.
 *
 * <p>Invariants: the revision of {@link #configuration} never falls, and its content is that of the log at that revision;
 * at a time before {@link #freshUntil} it holds every change that was called accepted more than the freshness limit ago.
 * Each call takes an event and answers with what to do. Not safe for use by several threads.
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
     * Makes a node that knows nothing yet.
     *
     * @param self this instance, not null
     * @param options how to work, not null
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
     * Queries whether a configuration was obtained, from the table or from a peer.
     *
     * @return true if one was, be it an empty one
     */
    public boolean isObtained() {
        return hasConfiguration;
    }

    public boolean isPoller() {
        return isPoller;
    }

    /**
     * Queries whether the store is out of this instance's reach.
     *
     * @return true if its last reading failed, or one is not answered within a period
     */
    public boolean isStoreUnreachable() {
        return lastPollFailed || pollInProgress && clock.nanos() - pollStartedAt > periodNanos;
    }

    /**
     * Gets until when the configuration may be taken as current.
     *
     * @return a time of the clock, which may have passed
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
     * @return the number of linked entries that said so
     */
    public int otherEntriesHolding(long revision) {
        return (int) peers.values().stream()
                .filter(peer -> peer.isEntry() && peer.heldRevision() >= revision)
                .count();
    }

    /**
     * Tells which entries are listed.
     *
     * @param entries those listed that did not say that they leave, this instance included if it is one, not null
     */
    public void listed(Set<InstanceId> entries) {
        freshness.setEntries(entries);
        isPoller =
                Rendezvous.choose(POLLER_HASH_KEY, entries, options.pollers()).contains(self);
    }

    /**
     * Tells that a link is open.
     *
     * @param peer the other end, not null
     * @param entry whether it is an entry
     * @return what to do, not null
     */
    public List<NodeAction> opened(InstanceId peer, boolean entry) {
        PeerState state = new PeerState(entry, clock.nanos());
        peers.put(peer, state);
        return List.of(heartbeat(peer, state));
    }

    /**
     * Tells that a link is closed.
     *
     * @param peer the other end, not null
     */
    public void closed(InstanceId peer) {
        peers.remove(peer);
    }

    /**
     * Tells that time has passed; to be called several times in a period.
     *
     * @return what to do, not null
     */
    public List<NodeAction> tick() {
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

    /* While the store is out of reach the words of the entries go round in the notes, over several hops. */
    private long heartbeatIntervalNanos() {
        return isStoreUnreachable() ? periodNanos / 2 : periodNanos;
    }

    /**
     * Takes what a reading of the table brought.
     *
     * @param answer the answer, not null
     * @return what to do, not null
     */
    public List<NodeAction> polled(PollAnswer answer) {
        pollInProgress = false;
        lastPollFailed = false;
        schedulePoll();
        replica.recordKnownRevision(answer.headRevision());
        answer.snapshot().ifPresent(replica::install);
        List<NodeAction> actions = applyEntries(answer.entries());
        if (replica.revision() >= answer.headRevision()) {
            hasConfiguration = true;
            freshness.recordConfirmation(answer.startedAt());
        }
        actions.addAll(shareConfirmation());
        return actions;
    }

    /** Tells that a reading of the table failed. */
    public void pollFailed() {
        pollInProgress = false;
        lastPollFailed = true;
        schedulePoll();
    }

    private void schedulePoll() {
        nextPollAt = clock.nanos() + periodNanos * 3 / 4 + random.nextLong(periodNanos / 2 + 1);
    }

    /**
     * Takes changes that this instance itself brought into the log.
     *
     * @param entries the changes, not null
     * @return what to do, not null
     */
    public List<NodeAction> committed(Collection<LogEntry> entries) {
        return applyEntries(entries);
    }

    /**
     * Takes a message.
     *
     * @param peer the sender, not null
     * @param message the message, not null
     * @return what to do, not null
     */
    public List<NodeAction> received(InstanceId peer, NodeMessage message) {
        PeerState state = peers.get(peer);
        if (state == null) {
            return List.of();
        }
        if (message instanceof NodeMessage.Note note) {
            return onHeartbeat(peer, state, note);
        }
        if (message instanceof NodeMessage.News news) {
            return onChanges(state, news);
        }
        if (message instanceof NodeMessage.SnapshotRequest request) {
            return answerSnapshotRequest(peer, request.haveRevision());
        }
        return snapshotAssembler
                .addPart((NodeMessage.SnapshotPart) message)
                .map(this::onSnapshot)
                .orElse(List.of());
    }

    private List<NodeAction> onChanges(PeerState state, NodeMessage.News news) {
        replica.recordKnownRevision(news.head());
        news.entries().forEach(entry -> state.recordHeldRevision(entry.revision()));
        return applyEntries(news.entries());
    }

    private List<NodeAction> onSnapshot(Configuration snapshot) {
        if (!replica.install(snapshot)) {
            return List.of();
        }
        return onConfigurationChanged();
    }

    private List<NodeAction> onHeartbeat(InstanceId peer, PeerState state, NodeMessage.Note note) {
        long now = clock.nanos();
        state.recordTimestamp(note.stamp(), now);
        state.recordHeldRevision(note.revision());
        replica.recordKnownRevision(note.highestHeard());
        state.earliestSendTime(note.echo(), now).ifPresent(sent -> applyReports(peer, state, note, sent));
        List<NodeAction> actions = new ArrayList<>(shareConfirmation());
        if (note.revision() < replica.revision() && state.maySendChanges(now, periodNanos)) {
            state.recordChangesSent(now);
            replica.entriesAfter(note.revision())
                    .ifPresent(entries -> actions.add(
                            new NodeAction.Send(peer, new NodeMessage.News(replica.highestKnownRevision(), entries))));
        }
        return actions;
    }

    private void applyReports(InstanceId peer, PeerState state, NodeMessage.Note note, long sent) {
        note.confirmedAge().ifPresent(age -> state.recordConfirmation(note.revision(), sent - age));
        if (state.isEntry() && note.saysUnreachable()) {
            freshness.recordUnreachable(peer, sent);
        } else if (state.isEntry()) {
            freshness.recordReachable(peer, sent);
        }
        note.words().forEach(word -> freshness.recordUnreachable(word.entry(), sent - word.age()));
    }

    private List<NodeAction> answerSnapshotRequest(InstanceId peer, long haveRevision) {
        if (haveRevision >= replica.revision()) {
            return List.of();
        }
        Optional<List<LogEntry>> entries = replica.entriesAfter(haveRevision);
        if (entries.isPresent()) {
            return List.of(
                    new NodeAction.Send(peer, new NodeMessage.News(replica.highestKnownRevision(), entries.get())));
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
        NodeMessage news = new NodeMessage.News(replica.highestKnownRevision(), applied);
        long now = clock.nanos();
        peers.forEach((peer, state) -> {
            if (state.heldRevision() < replica.revision()) {
                state.recordChangesSent(now);
                actions.add(new NodeAction.Send(peer, news));
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

    /* Takes over the confirmations of peers that cover what is in force here, and hands a clearly newer one on at once:
     * with the notes of each period alone it would age by up to a period at each hop. */
    private List<NodeAction> shareConfirmation() {
        long best = Freshness.NEVER;
        for (PeerState state : peers.values()) {
            best = Math.max(best, state.confirmationFor(replica.revision()));
        }
        freshness.recordConfirmation(best);
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
        List<NodeMessage.Word> words = unreachable ? freshness.unreachableReports(now) : List.of();
        state.recordConfirmationSent(freshness.confirmedAt());
        return new NodeAction.Send(
                peer,
                new NodeMessage.Note(
                        replica.revision(),
                        replica.highestKnownRevision(),
                        freshness.confirmationAgeNanos(now),
                        unreachable,
                        words,
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
