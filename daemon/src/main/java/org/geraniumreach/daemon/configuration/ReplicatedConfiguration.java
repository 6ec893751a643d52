package org.geraniumreach.daemon.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.geraniumreach.coordination.configuration.ConfigurationNode;
import org.geraniumreach.coordination.configuration.NodeAction;
import org.geraniumreach.coordination.configuration.NodeMessage;
import org.geraniumreach.coordination.configuration.PollResult;
import org.geraniumreach.coordination.membership.RendezvousHashing;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.membership.MembershipService;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Links;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * The configuration of a process, replicated through the table and the links to peers.
 *
 * <p>Invariants: one thread owns the node and calls the listeners, another reads the table; the state for other threads
 * is published after each event and read without a lock. Safe for use by several threads.
 */
public final class ReplicatedConfiguration implements ConfigurationService, AutoCloseable {

    private static final int TICKS_PER_PERIOD = 10;
    private static final String COMPACTOR_SUBJECT = "configuration-compactor";

    private final InstanceId self;
    private final ConfigurationSettings settings;
    private final Links links;
    private final MembershipService membership;
    private final MonotonicClock clock;
    private final ConfigurationReader reader;
    private final Compactor compactor;
    private final ConfigurationNode node;
    private final ScheduledExecutorService ownerExecutor =
            Executors.newSingleThreadScheduledExecutor(threadFactory("configuration"));
    private final ExecutorService pollExecutor = Executors.newSingleThreadExecutor(threadFactory("configuration-poll"));
    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private final Map<InstanceId, Peer> peers = new HashMap<>();
    private final SnapshotSender snapshotSender = new SnapshotSender();
    private volatile ConfigurationState state;
    private boolean storeReachable = true;

    private ReplicatedConfiguration(
            InstanceId self,
            ConfigurationSettings settings,
            TableService table,
            Links links,
            MembershipService membership,
            MonotonicClock clock,
            RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.links = Objects.requireNonNull(links, "links");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.reader = new ConfigurationReader(table, clock);
        this.compactor = new Compactor(table, settings.compactionChanges());
        this.node = new ConfigurationNode(self, settings.nodeOptions(), clock, random);
        this.state = ConfigurationState.of(node);
    }

    /**
     * Starts replicating the configuration.
     *
     * @param self this instance, not null
     * @param settings the settings, not null
     * @param table the platform's table, not null
     * @param links the links of this process, not null
     * @param membership the membership of this process, not null
     * @param clock the clock, not null
     * @param random the source of jitter, not null
     * @return the running configuration, not null
     */
    public static ReplicatedConfiguration start(
            InstanceId self,
            ConfigurationSettings settings,
            TableService table,
            Links links,
            MembershipService membership,
            MonotonicClock clock,
            RandomGenerator random) {
        ReplicatedConfiguration started =
                new ReplicatedConfiguration(self, settings, table, links, membership, clock, random);
        links.registerHandler(NodeFrames.FRAME_KINDS, started.new LinkHandler());
        long tick = settings.period().toNanos() / TICKS_PER_PERIOD;
        started.ownerExecutor.scheduleWithFixedDelay(started::tick, 0, tick, TimeUnit.NANOSECONDS);
        return started;
    }

    private static ThreadFactory threadFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    @Override
    public Configuration current() {
        return state.configuration();
    }

    /**
     * Gets the state of the configuration.
     *
     * @return the state as of the last event, not null
     */
    public ConfigurationState state() {
        return state;
    }

    @Override
    public void requireFresh() throws ServingException {
        ConfigurationState now = state;
        if (!now.isFreshAt(clock.nanos())) {
            throw ServingException.notRun(
                            ResultCode.NOT_FRESH,
                            "this instance cannot confirm that revision "
                                    + now.configuration().revision() + " is current")
                    .withRetryAfter(settings.period());
        }
    }

    @Override
    public Optional<String> reasonNotReady() {
        ConfigurationState now = state;
        if (!now.obtained()) {
            return Optional.of("no configuration was obtained from the table or from a peer yet");
        }
        return now.isFreshAt(clock.nanos())
                ? Optional.empty()
                : Optional.of("the configuration cannot be confirmed as current");
    }

    @Override
    public void addListener(ConfigurationListener listener) {
        listeners.add(listener);
    }

    /**
     * Applies the result of a poll and waits until it is in force.
     *
     * @param result the result of the poll, not null
     * @return the configuration, not null
     * @throws InterruptedException if the thread is interrupted because the process ends
     */
    Configuration applyPollResult(PollResult result) throws InterruptedException {
        callOnOwnerThread(() -> {
            handleEvent(() -> node.onPollCompleted(result));
            return true;
        });
        return current();
    }

    /**
     * Applies a change that this process committed to the log and waits until it is in force here and was sent to peers.
     *
     * @param entry the change, not null
     * @throws InterruptedException if the thread is interrupted because the process ends
     */
    void applyCommittedEntry(LogEntry entry) throws InterruptedException {
        callOnOwnerThread(() -> {
            handleEvent(() -> node.onCommitted(List.of(entry)));
            return true;
        });
    }

    int countOtherEntriesHolding(long revision) throws InterruptedException {
        return callOnOwnerThread(() -> node.countOtherEntriesHolding(revision));
    }

    boolean hasOtherEntries() {
        return membership.submittingEntries().stream().anyMatch(entry -> !entry.equals(self));
    }

    private <T> T callOnOwnerThread(Callable<T> task) throws InterruptedException {
        try {
            return ownerExecutor.submit(task).get();
        } catch (ExecutionException fault) {
            throw new IllegalStateException("a task on the thread of the configuration failed", fault.getCause());
        }
    }

    @Override
    public void close() {
        ownerExecutor.shutdownNow();
        pollExecutor.shutdownNow();
    }

    private void tick() {
        handleEvent(() -> {
            node.onEntriesListed(membership.submittingEntries());
            return node.onTick();
        });
    }

    /** Schedules an event for the owner thread. */
    void enqueue(Supplier<List<NodeAction>> event) {
        try {
            ownerExecutor.execute(() -> handleEvent(event));
        } catch (RejectedExecutionException rejected) {
            // When a process ends, links close after the configuration, and their events no longer matter.
            if (!ownerExecutor.isShutdown()) {
                throw rejected;
            }
        }
    }

    private void handleEvent(Supplier<List<NodeAction>> event) {
        try {
            List<NodeAction> actions = event.get();
            actions.forEach(this::perform);
            sendSnapshots(actions);
            publish();
        } catch (RuntimeException fault) {
            // While the process ends, the poll executor may reject the poll that an event requests.
            if (!ownerExecutor.isShutdown()) {
                EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "handling an event of the configuration");
            }
        }
    }

    private void perform(NodeAction action) {
        if (action instanceof NodeAction.Send send) {
            Peer peer = peers.get(send.peer());
            if (peer != null && !(send.message() instanceof NodeMessage.SnapshotPart)) {
                peer.send(NodeFrames.encode(self, send.message()));
            }
        } else if (action instanceof NodeAction.Poll poll) {
            pollExecutor.execute(() -> poll(poll.heldRevision()));
        }
    }

    private void sendSnapshots(List<NodeAction> actions) {
        Map<Peer, List<Frame>> parts = new HashMap<>();
        for (NodeAction action : actions) {
            if (action instanceof NodeAction.Send send && send.message() instanceof NodeMessage.SnapshotPart part) {
                Peer peer = peers.get(send.peer());
                if (peer != null) {
                    parts.computeIfAbsent(peer, key -> new ArrayList<>()).add(NodeFrames.encode(self, part));
                }
            }
        }
        parts.forEach(snapshotSender::send);
    }

    private void poll(long heldRevision) {
        try {
            PollResult result = reader.read(heldRevision);
            enqueue(() -> {
                updateStoreReachable(true, null);
                return node.onPollCompleted(result);
            });
            compact();
        } catch (PlatformException | RecordException | RuntimeException failure) {
            enqueue(() -> {
                updateStoreReachable(false, failure);
                node.onPollFailed();
                return List.of();
            });
        }
    }

    /* One entry is chosen to compact; if two consider themselves chosen, they write the same rows. A failed run is repeated
     * by the next one and does not count as a failed poll. */
    private void compact() {
        boolean chosen = RendezvousHashing.choose(COMPACTOR_SUBJECT, membership.submittingEntries(), 1)
                .contains(self);
        if (!chosen || !state.obtained()) {
            return;
        }
        try {
            compactor.compactIfDue(state.configuration());
        } catch (PlatformException | RecordException failure) {
            EventLog.write(
                    EventCode.PLATFORM_UNREACHABLE, failure, "table service, while compacting the configuration");
        }
    }

    private void updateStoreReachable(boolean reachable, Throwable failure) {
        if (reachable == storeReachable) {
            return;
        }
        storeReachable = reachable;
        if (reachable) {
            EventLog.write(EventCode.PLATFORM_REACHABLE, "table service, for the configuration");
        } else {
            EventLog.write(EventCode.PLATFORM_UNREACHABLE, failure, "table service, for the configuration");
        }
    }

    private void publish() {
        ConfigurationState before = state;
        ConfigurationState after = ConfigurationState.of(node);
        state = after;
        long now = clock.nanos();
        if (before.configuration() != after.configuration()) {
            notifyListeners(before.configuration(), after.configuration());
        }
        if (before.fresh() && !after.isFreshAt(now)) {
            EventLog.write(
                    EventCode.NOT_FRESH, "revision {}", after.configuration().revision());
        } else if (!before.fresh() && after.isFreshAt(now)) {
            EventLog.write(
                    EventCode.FRESH_AGAIN, "revision {}", after.configuration().revision());
        }
        state = after.withFresh(after.isFreshAt(now));
    }

    private void notifyListeners(Configuration before, Configuration after) {
        EventLog.write(EventCode.CONFIGURATION_ADVANCED, "{} to {}", before.revision(), after.revision());
        after.unreadable().forEach((key, reason) -> {
            if (!reason.equals(before.unreadable().get(key))) {
                EventLog.write(EventCode.RECORD_UNREADABLE, "{}: {}", key, reason);
            }
        });
        Set<KeyDigest> withdrawn = findWithdrawnKeys(before, after);
        for (ConfigurationListener listener : listeners) {
            try {
                listener.onConfigurationChanged(before, after, withdrawn);
            } catch (RuntimeException fault) {
                EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "a listener of the configuration failed");
            }
        }
    }

    private static Set<KeyDigest> findWithdrawnKeys(Configuration before, Configuration after) {
        Set<KeyDigest> withdrawn = new HashSet<>();
        for (KeyDigest digest : before.keyDigests()) {
            boolean sameAccount = after.key(digest)
                    .map(key -> key.account())
                    .equals(before.key(digest).map(key -> key.account()));
            if (!sameAccount) {
                withdrawn.add(digest);
            }
        }
        return withdrawn;
    }

    /** Forwards the events of links to the owner thread. */
    private final class LinkHandler implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            enqueue(() -> {
                InstanceId instance = InstanceId.of(peer.hello().getInstance());
                Peer known = peers.put(instance, peer);
                if (known != null
                        && known.hello().getIncarnation() == peer.hello().getIncarnation()) {
                    return List.of();
                }
                node.onLinkClosed(instance);
                return node.onLinkOpened(instance, peer.hello().getRole().equals("entry"));
            });
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            enqueue(() -> {
                InstanceId instance = InstanceId.of(peer.hello().getInstance());
                Peer known = peers.get(instance);
                if (known == null
                        || known.hello().getIncarnation() != peer.hello().getIncarnation()) {
                    return List.of();
                }
                try {
                    return node.onMessage(instance, NodeFrames.decode(frame));
                } catch (IllegalArgumentException malformed) {
                    EventLog.write(
                            EventCode.FRAME_REFUSED, malformed, "malformed configuration frame from {}", instance);
                    peer.close("malformed configuration frame");
                    return List.of();
                }
            });
        }

        @Override
        public void onWritable(Peer peer) {
            enqueue(() -> {
                snapshotSender.flush(peer);
                return List.of();
            });
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            enqueue(() -> {
                snapshotSender.onPeerClosed(peer);
                InstanceId instance = InstanceId.of(peer.hello().getInstance());
                if (peers.get(instance) != peer) {
                    return List.of();
                }
                Optional<Peer> other = links.find(instance)
                        .filter(open ->
                                open.hello().getIncarnation() == peer.hello().getIncarnation());
                if (other.isPresent()) {
                    peers.put(instance, other.get());
                } else {
                    peers.remove(instance);
                    node.onLinkClosed(instance);
                }
                return List.of();
            });
        }
    }
}
