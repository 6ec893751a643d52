package org.geraniumreach.daemon.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.coordination.membership.LinkSelector;
import org.geraniumreach.coordination.membership.LinkedMember;
import org.geraniumreach.coordination.membership.ListedMember;
import org.geraniumreach.coordination.membership.Member;
import org.geraniumreach.coordination.membership.MemberRole;
import org.geraniumreach.coordination.membership.Membership;
import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Links;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.Leaving;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.ports.InstanceList;
import org.geraniumreach.ports.ListedInstance;
import org.geraniumreach.ports.PlatformException;

/**
 * Reads the instance list, maintains links to other instances and publishes the membership view.
 *
 * <p>Invariants: an entry maintains the links that {@link LinkSelector} selects; a companion opens none and is linked by
 * entries. While the list does not answer, the last view stays. One lock guards the membership state, and one thread
 * calls the listeners. Safe for use by several threads.
 */
public final class LinkedMembership implements MembershipService, AutoCloseable {

    private final InstanceId self;
    private final long incarnation;
    private final MemberRole role;
    private final MembershipSettings settings;
    private final InstanceList list;
    private final Links links;
    private final MonotonicClock clock;
    private final ScheduledExecutorService executor;
    private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
    private final Membership membership;
    private final Map<InstanceId, ListedInstance> keptLinks = new HashMap<>();
    private MembershipView lastPublished = MembershipView.empty();
    private boolean listReachable = true;
    private volatile MembershipView view = MembershipView.empty();
    private volatile Optional<InstanceListReading> lastReading = Optional.empty();
    private volatile Set<InstanceId> submittingEntries = Set.of();
    private volatile boolean leaving;

    private LinkedMembership(
            Hello hello, MembershipSettings settings, InstanceList list, Links links, MonotonicClock clock) {
        this.self = InstanceId.of(hello.getInstance());
        this.membership = new Membership(self);
        this.incarnation = hello.getIncarnation();
        this.role = roleOf(hello);
        this.settings = Objects.requireNonNull(settings, "settings");
        this.list = Objects.requireNonNull(list, "list");
        this.links = Objects.requireNonNull(links, "links");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "membership");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Starts the membership of a process.
     *
     * @param hello the Hello that this process sends on its links, not null
     * @param settings the settings, not null
     * @param list the platform's instance list, not null
     * @param links the links of this process, not null
     * @param clock the clock, not null
     * @return the running membership, not null
     */
    public static LinkedMembership start(
            Hello hello, MembershipSettings settings, InstanceList list, Links links, MonotonicClock clock) {
        LinkedMembership started = new LinkedMembership(hello, settings, list, links, clock);
        links.registerHandler(Set.of(Frame.BodyCase.LEAVING), started.new LinkHandler());
        long interval = settings.readInterval().toNanos();
        started.executor.scheduleWithFixedDelay(started::readList, 0, interval, TimeUnit.NANOSECONDS);
        return started;
    }

    private static MemberRole roleOf(Hello hello) {
        return hello.getRole().equals("entry") ? MemberRole.ENTRY : MemberRole.COMPANION;
    }

    @Override
    public MembershipView get() {
        return view;
    }

    @Override
    public void addListener(MembershipListener listener) {
        listeners.add(listener);
    }

    @Override
    public Optional<InstanceListReading> lastReading() {
        return lastReading;
    }

    @Override
    public Set<InstanceId> submittingEntries() {
        return submittingEntries;
    }

    @Override
    public void announceLeaving() {
        leaving = true;
        Frame frame = createLeavingFrame();
        links.peers().forEach(peer -> peer.send(frame));
    }

    private Frame createLeavingFrame() {
        Leaving message = Leaving.newBuilder()
                .setInstance(self.value())
                .setIncarnation(incarnation)
                .build();
        return Frame.newBuilder().setLeaving(message).build();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void readList() {
        long requestedAtNanos = clock.nanos();
        try {
            List<ListedInstance> instances = list.read();
            if (!listReachable) {
                listReachable = true;
                EventLog.write(EventCode.PLATFORM_REACHABLE, "instance list");
            }
            lastReading = Optional.of(new InstanceListReading(requestedAtNanos, instances));
            update(() -> membership.onListRead(
                    instances.stream().map(LinkedMembership::toListedMember).toList()));
            if (role == MemberRole.ENTRY) {
                keepLinks(instances);
            }
        } catch (PlatformException failure) {
            if (listReachable) {
                listReachable = false;
                EventLog.write(EventCode.PLATFORM_UNREACHABLE, failure, "instance list");
            }
        } catch (RuntimeException fault) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "reading the instance list");
        }
    }

    private static ListedMember toListedMember(ListedInstance listed) {
        return new ListedMember(
                listed.instance(),
                listed.role() == ListedInstance.Role.ENTRY ? MemberRole.ENTRY : MemberRole.COMPANION,
                listed.failureDomain(),
                listed.linkAddress(),
                listed.leaving());
    }

    private void keepLinks(List<ListedInstance> instances) {
        Map<InstanceId, ListedInstance> entries = new HashMap<>();
        Map<InstanceId, ListedInstance> companions = new HashMap<>();
        for (ListedInstance listed : instances) {
            if (!listed.instance().equals(self)) {
                (listed.role() == ListedInstance.Role.ENTRY ? entries : companions).put(listed.instance(), listed);
            }
        }
        LinkSelector selector = settings.linkSelector();
        Set<InstanceId> wanted = new HashSet<>(selector.selectEntries(self, entries.keySet()));
        wanted.addAll(selector.selectCompanions(self, entries.keySet(), companions.keySet()));
        releaseUnwantedLinks(wanted);
        for (InstanceId instance : wanted) {
            keepLink(entries.getOrDefault(instance, companions.get(instance)));
        }
    }

    /* An instance may return under its name at another address; a link still open to the old address is not replaced. */
    private void keepLink(ListedInstance listed) {
        ListedInstance before = keptLinks.get(listed.instance());
        if (before != null && before.linkAddress().equals(listed.linkAddress())) {
            return;
        }
        if (before != null) {
            if (links.find(listed.instance()).isPresent()) {
                return;
            }
            links.release(listed.instance());
        }
        keptLinks.put(listed.instance(), listed);
        links.keep(listed.instance(), listed.linkAddress());
    }

    /* The platform may drop an instance from its list while requests still run there. Closing the link would cut off their
     * answers, so an open link stays until the other end closes it. */
    private void releaseUnwantedLinks(Set<InstanceId> wanted) {
        for (InstanceId instance : Set.copyOf(keptLinks.keySet())) {
            if (!wanted.contains(instance) && links.find(instance).isEmpty()) {
                keptLinks.remove(instance);
                links.release(instance);
            }
        }
    }

    private void update(Runnable change) {
        synchronized (lock) {
            change.run();
            view = membership.view();
            submittingEntries = findSubmittingEntries();
        }
        try {
            executor.execute(this::publish);
        } catch (RejectedExecutionException rejected) {
            // When a process ends, links close after the membership, and listeners no longer need the change.
            if (!executor.isShutdown()) {
                throw rejected;
            }
        }
    }

    private Set<InstanceId> findSubmittingEntries() {
        Set<InstanceId> entries = new TreeSet<>();
        lastReading.map(InstanceListReading::instances).orElse(List.of()).stream()
                .filter(listed -> listed.role() == ListedInstance.Role.ENTRY)
                .map(ListedInstance::instance)
                .filter(instance -> !membership.hasLeft(instance))
                .forEach(entries::add);
        return Set.copyOf(entries);
    }

    private void publish() {
        MembershipView before = lastPublished;
        MembershipView after = view;
        lastPublished = after;
        logChanges(before, after);
        for (MembershipListener listener : listeners) {
            try {
                listener.onMembershipChanged(before, after);
            } catch (RuntimeException fault) {
                EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "a listener of the membership failed");
            }
        }
    }

    private static void logChanges(MembershipView before, MembershipView after) {
        for (Member member : after.members()) {
            boolean acceptedWork =
                    before.member(member.instance()).filter(Member::acceptsWork).isPresent();
            if (member.acceptsWork() && !acceptedWork) {
                EventLog.write(EventCode.INSTANCE_JOINED, "{}", member.instance());
            } else if (acceptedWork && !member.acceptsWork()) {
                EventLog.write(
                        EventCode.INSTANCE_LEFT,
                        "{} accepts no more work, leaving: {}",
                        member.instance(),
                        member.leaving());
            }
        }
        for (Member member : before.members()) {
            if (member.acceptsWork() && after.member(member.instance()).isEmpty()) {
                EventLog.write(EventCode.INSTANCE_LEFT, "{} is gone", member.instance());
            }
        }
    }

    /** Updates the membership from the events of links. */
    private final class LinkHandler implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            try {
                LinkedMember member = toLinkedMember(peer.hello());
                update(() -> membership.onLinkOpened(member));
            } catch (IllegalArgumentException invalid) {
                peer.close("invalid Hello: " + invalid.getMessage());
                return;
            }
            if (leaving) {
                peer.send(createLeavingFrame());
            }
        }

        private LinkedMember toLinkedMember(Hello hello) {
            return new LinkedMember(
                    InstanceId.of(hello.getInstance()),
                    roleOf(hello),
                    FailureDomain.of(hello.getFailureDomain()),
                    hello.getTarget().isEmpty() ? Optional.empty() : Optional.of(TargetId.of(hello.getTarget())),
                    hello.getIncarnation());
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            InstanceId instance = InstanceId.of(peer.hello().getInstance());
            update(() -> membership.onLeaving(instance, frame.getLeaving().getIncarnation()));
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            InstanceId instance = InstanceId.of(peer.hello().getInstance());
            if (links.find(instance).isEmpty()) {
                update(() -> membership.onLinkClosed(instance));
            }
        }
    }
}
