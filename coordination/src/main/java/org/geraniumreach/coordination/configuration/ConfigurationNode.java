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

    private static final int FETCH_PERIODS = 4;
    private static final String POLLER_SUBJECT = "configuration-poller";

    private final InstanceId self;
    private final NodeOptions options;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Replica replica;
    private final Freshness freshness;
    private final SnapshotAssembly assembly = new SnapshotAssembly();
    private final Map<InstanceId, PeerState> peers = new TreeMap<>();
    private final long period;

    private boolean obtained;
    private boolean poller;
    private boolean polling;
    private boolean pollFailing;
    private long pollStartedAt;
    private long nextPollAt;
    private long nextNoteAt;
    private long nextFetchAt;

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
        this.period = options.period().toNanos();
        this.freshness = new Freshness(self, options.freshnessLimit().toNanos());
        long now = clock.nanos();
        this.nextPollAt = now;
        this.nextNoteAt = now;
        this.nextFetchAt = now;
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
        return obtained;
    }

    public boolean isPoller() {
        return poller;
    }

    /**
     * Queries whether the store is out of this instance's reach.
     *
     * @return true if its last reading failed, or one is not answered within a period
     */
    public boolean isStoreUnreachable() {
        return pollFailing || polling && clock.nanos() - pollStartedAt > period;
    }

    /**
     * Gets until when the configuration may be taken as current.
     *
     * @return a time of the clock, which may have passed
     */
    public long freshUntil() {
        if (!obtained) {
            return Freshness.NEVER;
        }
        return freshness.until(replica.isBehind(), isStoreUnreachable(), clock.nanos());
    }

    /**
     * Counts the other entries that are known to hold a revision.
     *
     * @param revision the revision
     * @return the number of linked entries that said so
     */
    public int otherEntriesHolding(long revision) {
        return (int) peers.values().stream()
                .filter(peer -> peer.isEntry() && peer.revision() >= revision)
                .count();
    }

    /**
     * Tells which entries are listed.
     *
     * @param entries those listed that did not say that they leave, this instance included if it is one, not null
     */
    public void listed(Set<InstanceId> entries) {
        freshness.listed(entries);
        poller = Rendezvous.choose(POLLER_SUBJECT, entries, options.pollers()).contains(self);
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
        return List.of(note(peer, state));
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
            actions.add(poll(now));
        }
        if (now >= nextNoteAt) {
            nextNoteAt = now + noteInterval();
            peers.forEach((peer, state) -> actions.add(note(peer, state)));
        }
        if (isFetchDue(now)) {
            nextFetchAt = now + FETCH_PERIODS * period;
            bestPeer()
                    .ifPresent(peer -> actions.add(
                            new NodeAction.Send(peer, new NodeMessage.SnapshotRequest(replica.revision()))));
        }
        return actions;
    }

    private boolean isPollDue(long now) {
        if (polling || now < nextPollAt) {
            return false;
        }
        return poller || !obtained || now - freshness.confirmedAt() >= 2 * period;
    }

    private boolean isFetchDue(long now) {
        boolean awaitsTable = polling && !isStoreUnreachable();
        return (replica.isBehind() || !obtained) && !awaitsTable && now >= nextFetchAt;
    }

    private NodeAction poll(long now) {
        polling = true;
        pollStartedAt = now;
        return new NodeAction.Poll(replica.revision());
    }

    /* While the store is out of reach the words of the entries go round in the notes, over several hops. */
    private long noteInterval() {
        return isStoreUnreachable() ? period / 2 : period;
    }

    /**
     * Takes what a reading of the table brought.
     *
     * @param answer the answer, not null
     * @return what to do, not null
     */
    public List<NodeAction> polled(PollAnswer answer) {
        polling = false;
        pollFailing = false;
        schedulePoll();
        replica.heardOf(answer.head());
        answer.snapshot().ifPresent(replica::install);
        List<NodeAction> actions = apply(answer.entries());
        if (replica.revision() >= answer.head()) {
            obtained = true;
            freshness.confirmed(answer.startedAt());
        }
        actions.addAll(shareConfirmation());
        return actions;
    }

    /** Tells that a reading of the table failed. */
    public void pollFailed() {
        polling = false;
        pollFailing = true;
        schedulePoll();
    }

    private void schedulePoll() {
        nextPollAt = clock.nanos() + period * 3 / 4 + random.nextLong(period / 2 + 1);
    }

    /**
     * Takes changes that this instance itself brought into the log.
     *
     * @param entries the changes, not null
     * @return what to do, not null
     */
    public List<NodeAction> committed(Collection<LogEntry> entries) {
        return apply(entries);
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
            return noteReceived(peer, state, note);
        }
        if (message instanceof NodeMessage.News news) {
            return newsReceived(state, news);
        }
        if (message instanceof NodeMessage.SnapshotRequest request) {
            return answer(peer, request.haveRevision());
        }
        return assembly.take((NodeMessage.SnapshotPart) message)
                .map(this::snapshotReceived)
                .orElse(List.of());
    }

    private List<NodeAction> newsReceived(PeerState state, NodeMessage.News news) {
        replica.heardOf(news.head());
        news.entries().forEach(entry -> state.holds(entry.revision()));
        return apply(news.entries());
    }

    private List<NodeAction> snapshotReceived(Configuration snapshot) {
        if (!replica.install(snapshot)) {
            return List.of();
        }
        return afterChange();
    }

    private List<NodeAction> noteReceived(InstanceId peer, PeerState state, NodeMessage.Note note) {
        long now = clock.nanos();
        state.received(note.stamp(), now);
        state.holds(note.revision());
        replica.heardOf(note.highestHeard());
        state.sentNotBefore(note.echo(), now).ifPresent(sent -> takeWords(peer, state, note, sent));
        List<NodeAction> actions = new ArrayList<>(shareConfirmation());
        if (note.revision() < replica.revision() && state.mayRepair(now, period)) {
            state.repaired(now);
            replica.entriesAfter(note.revision())
                    .ifPresent(entries -> actions.add(
                            new NodeAction.Send(peer, new NodeMessage.News(replica.highestHeard(), entries))));
        }
        return actions;
    }

    private void takeWords(InstanceId peer, PeerState state, NodeMessage.Note note, long sent) {
        note.confirmedAge().ifPresent(age -> state.offers(note.revision(), sent - age));
        if (state.isEntry() && note.saysUnreachable()) {
            freshness.saidUnreachable(peer, sent);
        } else if (state.isEntry()) {
            freshness.saidReachable(peer, sent);
        }
        note.words().forEach(word -> freshness.saidUnreachable(word.entry(), sent - word.age()));
    }

    private List<NodeAction> answer(InstanceId peer, long haveRevision) {
        if (haveRevision >= replica.revision()) {
            return List.of();
        }
        Optional<List<LogEntry>> entries = replica.entriesAfter(haveRevision);
        if (entries.isPresent()) {
            return List.of(new NodeAction.Send(peer, new NodeMessage.News(replica.highestHeard(), entries.get())));
        }
        List<NodeAction> actions = new ArrayList<>();
        SnapshotAssembly.cut(replica.configuration(), SnapshotAssembly.PART_SIZE)
                .forEach(part -> actions.add(new NodeAction.Send(peer, part)));
        return actions;
    }

    private List<NodeAction> apply(Collection<LogEntry> entries) {
        List<LogEntry> applied = replica.take(entries);
        if (applied.isEmpty()) {
            return new ArrayList<>();
        }
        List<NodeAction> actions = new ArrayList<>();
        NodeMessage news = new NodeMessage.News(replica.highestHeard(), applied);
        long now = clock.nanos();
        peers.forEach((peer, state) -> {
            if (state.revision() < replica.revision()) {
                state.repaired(now);
                actions.add(new NodeAction.Send(peer, news));
            }
        });
        actions.addAll(afterChange());
        return actions;
    }

    private List<NodeAction> afterChange() {
        obtained |= !replica.isBehind();
        List<NodeAction> actions = new ArrayList<>();
        shareConfirmation();
        peers.forEach((peer, state) -> actions.add(note(peer, state)));
        return actions;
    }

    /* Takes over the confirmations of peers that cover what is in force here, and hands a clearly newer one on at once:
     * with the notes of each period alone it would age by up to a period at each hop. */
    private List<NodeAction> shareConfirmation() {
        long best = Freshness.NEVER;
        for (PeerState state : peers.values()) {
            best = Math.max(best, state.confirmationFor(replica.revision()));
        }
        freshness.confirmed(best);
        long confirmedAt = freshness.confirmedAt();
        List<NodeAction> actions = new ArrayList<>();
        peers.forEach((peer, state) -> {
            if (confirmedAt - state.knownConfirmedAt() >= period / 2) {
                actions.add(note(peer, state));
            }
        });
        return actions;
    }

    private NodeAction note(InstanceId peer, PeerState state) {
        long now = clock.nanos();
        boolean unreachable = isStoreUnreachable();
        List<NodeMessage.Word> words = unreachable ? freshness.words(now) : List.of();
        state.told(freshness.confirmedAt());
        return new NodeAction.Send(
                peer,
                new NodeMessage.Note(
                        replica.revision(),
                        replica.highestHeard(),
                        freshness.confirmedAge(now),
                        unreachable,
                        words,
                        now,
                        state.echo(now)));
    }

    private Optional<InstanceId> bestPeer() {
        return peers.entrySet().stream()
                .filter(peer -> peer.getValue().revision() > replica.revision())
                .max((one, other) ->
                        Long.compare(one.getValue().revision(), other.getValue().revision()))
                .map(Map.Entry::getKey);
    }
}
