package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.adapter.AdapterSlots;
import org.geraniumreach.gateway.adapter.DeclinedLoads;
import org.geraniumreach.gateway.adapter.FetchWindow;
import org.geraniumreach.gateway.adapter.Order;
import org.geraniumreach.gateway.adapter.OrderResult;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.adapter.TargetReport;
import org.geraniumreach.gateway.adapter.UsageReports;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.request.AdapterLoader;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.messages.AdapterChanges;
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.AdapterLoadRequest;
import org.geraniumreach.messages.AdapterLoaded;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Coordinates the loading of adapters: sends orders to the targets that this entry owns, and load requests to the owners of the others.
 *
 * <p>Invariants: each order carries the fencing token that the store has given this entry, looked up at the time of sending; nothing
 * is sent to a target that may not be called, and calls due there are made once it may be called again. Confined to the event loop.
 */
final class AdapterLoadCoordinator implements AdapterLoader, TargetRegistry.Listener, EntryLinks.Listener {

    /** Polling interval while load requests wait for a slot, for the weight store or for an adapter to be idle. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(12);

    /** Polling interval of a target that may not be called. */
    private static final Duration UNCALLABLE_POLL_INTERVAL = Duration.ofMillis(500);

    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(1);

    /** Orders are normally answered within 10 ms; an unanswered one was lost or is executed late, and repeating it is harmless. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(150);

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(300);

    private static final Duration LOAD_REQUEST_INTERVAL = Duration.ofMillis(300);

    private final TargetRegistry registry;
    private final TargetOwnership ownership;
    private final Predicate<Target> mayBeCalled;
    private final Predicate<Target> needsOwner;
    private final TargetPort targets;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final FetchWindow fetchWindow = new FetchWindow();
    private final Map<Target, OwnedTarget> ownedTargets = new HashMap<>();
    private final NamedVersions versions;
    private final AdapterWaiters waiters = new AdapterWaiters();
    private final UsageReports usageReports = new UsageReports();
    private final DeclinedLoads declinedLoads = new DeclinedLoads();
    private final Map<Target, Map<AdapterName, SentDemand>> recentLoadRequests = new HashMap<>();
    private Optional<EntryLinks> links = Optional.empty();
    private boolean ordersLoads;

    /** A load request that was sent to a target's owner. */
    private record SentDemand(LoadDemand demand, long at) {}

    /** A target that this entry owns. */
    private static final class OwnedTarget {
        private final AdapterSlots slots;
        private Cancellable pollTimer = Cancellable.NOOP;

        private OwnedTarget(AdapterSlots slots) {
            this.slots = slots;
        }
    }

    /**
     * The known targets, their owners, and the port to call them.
     *
     * @param registry the known targets
     * @param ownership the owners of the targets
     * @param mayBeCalled whether a target may be called now
     * @param needsOwner whether a target needs an owner even if it serves no models
     * @param port sends calls to targets
     */
    record TargetAccess(
            TargetRegistry registry,
            TargetOwnership ownership,
            Predicate<Target> mayBeCalled,
            Predicate<Target> needsOwner,
            TargetPort port) {}

    AdapterLoadCoordinator(
            TargetAccess targets,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log,
            Supplier<Optional<TrafficConfiguration>> configuration) {
        this.registry = Objects.requireNonNull(targets.registry(), "registry");
        this.ownership = Objects.requireNonNull(targets.ownership(), "ownership");
        this.mayBeCalled = Objects.requireNonNull(targets.mayBeCalled(), "mayBeCalled");
        this.needsOwner = Objects.requireNonNull(targets.needsOwner(), "needsOwner");
        this.targets = Objects.requireNonNull(targets.port(), "targets");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.self = ownership.self();
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.versions = new NamedVersions(clock, log);
    }

    void start(EntryLinks entryLinks) {
        links = Optional.of(entryLinks);
        timers.schedule(UsageReports.CHECK_INTERVAL, this::reportUsage);
    }

    /** Lets loads at the targets of this entry be ordered by the priority of the requests that wait for them. */
    void orderLoads() {
        ordersLoads = true;
    }

    /** Checks whether this entry or a connected owner can have adapters loaded at a target now. */
    boolean canReceiveOrders(Target target) {
        if (ownership.fence(target.id()).isPresent()) {
            return true;
        }
        return ownership
                .holder(target.id())
                .filter(holder -> !holder.equals(self))
                .filter(holder -> links.isPresent() && links.get().isConnected(holder))
                .isPresent();
    }

    /** Gets the targets that need an owner: those that serve models, and those whose limit the owner has to keep. */
    List<TargetId> targetsNeedingOwner() {
        List<TargetId> ids = new ArrayList<>();
        for (Target target : registry.all()) {
            if (findEngine(target).isPresent() || needsOwner.test(target)) {
                ids.add(target.id());
            }
        }
        return ids;
    }

    private Optional<ServiceDefinition.Engine> findEngine(Target target) {
        return configuration
                .get()
                .flatMap(current -> current.service(target.description().service()))
                .flatMap(ServiceDefinition::engine)
                .filter(engine -> !engine.models().isEmpty());
    }

    /** Starts managing targets that this entry has come to own, and stops managing those that others own. */
    void refresh() {
        registry.all().forEach(this::refresh);
    }

    private void refresh(Target target) {
        boolean hasFence = ownership.fence(target.id()).isPresent();
        if (hasFence && !ownedTargets.containsKey(target)) {
            findEngine(target).ifPresent(engine -> startManaging(target, engine));
        } else if (!hasFence
                && ownedTargets.containsKey(target)
                && !ownership.holder(target.id()).equals(Optional.of(self))) {
            stopManaging(target);
        }
    }

    private void startManaging(Target target, ServiceDefinition.Engine engine) {
        AdapterSlots slots = new AdapterSlots(
                engine.adapterSlots(),
                engine.models().get(0),
                adapter -> Math.max(1, namedVersion(adapter)),
                fetchWindow,
                new ChangePublisher(target, engine.models().get(0)));
        ownedTargets.put(target, new OwnedTarget(slots));
        log.write(
                EventCode.HOLDER_CHANGED,
                target.id().value(),
                Field.of("holder", self),
                Field.of("fence", ownership.fence(target.id()).orElse(0)));
        poll(target);
    }

    private void stopManaging(Target target) {
        OwnedTarget removed = ownedTargets.remove(target);
        if (removed != null) {
            removed.pollTimer.cancel();
            removed.slots.close();
        }
    }

    /** Records the changes of adapters at an owned target and publishes them to all entries. */
    private final class ChangePublisher implements AdapterSlots.Listener {
        private final Target target;
        private final String model;

        private ChangePublisher(Target target, String model) {
            this.target = target;
            this.model = model;
        }

        @Override
        public void onAdapterLoaded(AdapterName adapter, long version) {
            target.learnResident(adapter, version, clock.nanos());
            publish(newMessage().addLoaded(toLoadedMessage(adapter.adapter(), version)));
            waiters.wake(adapter);
        }

        @Override
        public void onAdapterUnavailable(AdapterName adapter) {
            target.learnAbsent(adapter, clock.nanos());
            publish(newMessage().addUnloaded(adapter.adapter()));
        }

        @Override
        public void onModelLoaded() {
            target.learnModel(model);
            publish(newMessage());
        }

        private AdapterChanges.Builder newMessage() {
            return AdapterChanges.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(model)
                    .setModelPresent(true);
        }

        private void publish(AdapterChanges.Builder changes) {
            links.ifPresent(open ->
                    open.sendToAll(Frame.newBuilder().setAdapterChanges(changes).build()));
        }
    }

    private static AdapterLoaded toLoadedMessage(String adapter, long version) {
        return AdapterLoaded.newBuilder()
                .setAdapter(adapter)
                .setVersion(version)
                .build();
    }

    /** Makes the next due call to an owned target, and schedules the next poll while work is pending. */
    private void poll(Target target) {
        OwnedTarget owned = ownedTargets.get(target);
        if (owned == null) {
            return;
        }
        owned.pollTimer.cancel();
        if (!mayBeCalled.test(target)) {
            owned.pollTimer = timers.schedule(UNCALLABLE_POLL_INTERVAL, () -> poll(target));
            return;
        }
        OptionalLong fence = ownership.fence(target.id());
        if (fence.isPresent()) {
            owned.slots.nextCall(clock.nanos()).ifPresent(call -> execute(target, owned, call, fence.getAsLong()));
        }
        if (owned.slots.isBusy()) {
            owned.pollTimer = timers.schedule(nextPollDelay(owned.slots), () -> poll(target));
        }
    }

    private Duration nextPollDelay(AdapterSlots slots) {
        Duration delay = slots.untilNextCall(clock.nanos()).orElse(POLL_INTERVAL);
        return delay.compareTo(MIN_POLL_INTERVAL) < 0 ? MIN_POLL_INTERVAL : delay;
    }

    private void execute(Target target, OwnedTarget owned, AdapterSlots.Call call, long fence) {
        if (call instanceof AdapterSlots.Call.SendOrder send) {
            sendOrder(target, owned, send, fence);
        } else {
            fetchReport(target, owned);
        }
    }

    private void sendOrder(Target target, OwnedTarget owned, AdapterSlots.Call.SendOrder send, long fence) {
        Order order = new Order(
                send.operation(),
                owned.slots.model(),
                send.adapter().map(AdapterName::adapter),
                OptionalLong.of(send.expectedOrders()),
                fence);
        TimeoutCallback<OrderResult> answer = new TimeoutCallback<>(result -> {
            logOrder(target, send, fence, result);
            owned.slots.onOrderResult(send, result, clock.nanos());
            if (result == OrderResult.ANOTHER_TARGET) {
                registry.removeEnded(target);
            }
            poll(target);
        });
        answer.startTimeout(ORDER_TIMEOUT, OrderResult.UNKNOWN, timers);
        answer.setCall(targets.sendOrder(target, order, self, answer));
    }

    private void logOrder(Target target, AdapterSlots.Call.SendOrder send, long fence, OrderResult result) {
        log.write(
                EventCode.ORDER_ANSWERED,
                target.id().value(),
                Field.of("operation", send.operation()),
                Field.of("adapter", send.adapter().map(AdapterName::adapter).orElse("")),
                Field.of("expectedOrders", send.expectedOrders()),
                Field.of("fence", fence),
                Field.of("result", result));
    }

    private void fetchReport(Target target, OwnedTarget owned) {
        TimeoutCallback<Optional<TargetReport>> answer = new TimeoutCallback<>(report -> {
            if (report.isPresent()) {
                owned.slots.onReport(report.get(), clock.nanos());
            } else {
                owned.slots.onReportFailed(clock.nanos());
            }
            poll(target);
        });
        answer.startTimeout(REPORT_TIMEOUT, Optional.empty(), timers);
        answer.setCall(targets.fetchReport(target, answer));
    }

    @Override
    public void enqueue(Target target, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline) {
        enqueue(target, adapter, new LoadDemand(untilLate, Optional.empty(), mayDecline));
    }

    @Override
    public void enqueue(
            Target target,
            AdapterName adapter,
            Optional<Duration> untilLate,
            boolean mayDecline,
            RequestPriority priority) {
        enqueue(target, adapter, new LoadDemand(untilLate, Optional.of(priority), mayDecline));
    }

    private void enqueue(Target target, AdapterName adapter, LoadDemand demand) {
        OwnedTarget owned = ownedTargets.get(target);
        long now = clock.nanos();
        if (owned != null) {
            if (tryEnqueue(owned.slots, adapter, demand)) {
                poll(target);
            } else {
                onDeclined(target.id(), adapter);
            }
            return;
        }
        Map<AdapterName, SentDemand> recent =
                recentLoadRequests.computeIfAbsent(target, missing -> new LinkedHashMap<>());
        recent.values().removeIf(sent -> now - sent.at() > LOAD_REQUEST_INTERVAL.toNanos());
        SentDemand previous = recent.get(adapter);
        if (previous == null || demand.isMoreUrgentThan(previous.demand())) {
            recent.remove(adapter);
            recent.put(adapter, new SentDemand(demand, now));
            sendDemand(
                    target,
                    adapter.baseModel(),
                    AdapterDemand.newBuilder().addLoadRequests(demand.toMessage(adapter.adapter())));
        }
    }

    /** Enqueues a load request; returns false if it is declined because the target has no slot for it. */
    private boolean tryEnqueue(AdapterSlots slots, AdapterName adapter, LoadDemand demand) {
        long now = clock.nanos();
        if (demand.mayDecline() && !slots.hasSlotFor(adapter, now)) {
            return false;
        }
        slots.enqueue(adapter, deadlineNanos(demand.untilLate(), now), demand.priority(), now);
        return true;
    }

    private static OptionalLong deadlineNanos(Optional<Duration> untilLate, long now) {
        return untilLate.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(now + untilLate.get().toNanos());
    }

    private void sendDemand(Target target, String model, AdapterDemand.Builder demand) {
        Frame frame = Frame.newBuilder()
                .setAdapterDemand(demand.setTarget(target.id().value()).setModel(model))
                .build();
        ownership.holder(target.id()).ifPresent(holder -> links.ifPresent(open -> open.send(holder, frame)));
    }

    @Override
    public void onRequestSent(Target target, AdapterName adapter) {
        usageReports.onRequestStarted(target, adapter);
        OwnedTarget owned = ownedTargets.get(target);
        if (owned != null) {
            owned.slots.recordUses(adapter, 1, clock.nanos());
        }
    }

    @Override
    public void onRequestEnded(Target target, AdapterName adapter) {
        usageReports.onRequestEnded(target, adapter);
    }

    private void reportUsage() {
        long now = clock.nanos();
        for (UsageReports.Report report : usageReports.takeDue(now)) {
            OwnedTarget owned = ownedTargets.get(report.target());
            if (owned != null) {
                owned.slots.updateRunning(self, report.running(), now);
            } else {
                reportToOwner(report);
            }
        }
        timers.schedule(UsageReports.CHECK_INTERVAL, this::reportUsage);
    }

    private void reportToOwner(UsageReports.Report report) {
        Map<String, AdapterDemand.Builder> byModel = new HashMap<>();
        report.started().forEach(adapter -> byModel.computeIfAbsent(adapter.baseModel(), missing -> newUsageReport())
                .addUsed(adapter.adapter()));
        report.running().forEach(adapter -> byModel.computeIfAbsent(adapter.baseModel(), missing -> newUsageReport())
                .addRunning(adapter.adapter()));
        if (byModel.isEmpty()) {
            findEngine(report.target())
                    .ifPresent(engine -> byModel.put(engine.models().get(0), newUsageReport()));
        }
        byModel.forEach((model, demand) -> sendDemand(report.target(), model, demand));
    }

    private static AdapterDemand.Builder newUsageReport() {
        return AdapterDemand.newBuilder().setTellsRunning(true);
    }

    @Override
    public Cancellable await(AdapterName adapter, Runnable callback) {
        return waiters.add(adapter, callback);
    }

    @Override
    public long namedVersion(AdapterName adapter) {
        return versions.newestVersion(adapter);
    }

    @Override
    public OptionalLong namedAt(AdapterName adapter) {
        return versions.learntAt(adapter);
    }

    @Override
    public long minimumVersion(AdapterName adapter) {
        return versions.requiredVersion(adapter);
    }

    @Override
    public OptionalLong olderVersionsEndAt(AdapterName adapter) {
        return versions.olderVersionsEndAt(adapter);
    }

    @Override
    public void onVersionNamed(Consumer<AdapterName> listener) {
        versions.addListener(listener);
    }

    /** Gets the adapter versions in force, which the caller updates. */
    NamedVersions versions() {
        return versions;
    }

    @Override
    public void onJoined(Target target) {
        log.write(
                EventCode.TARGET_JOINED,
                target.id().value(),
                Field.of("service", target.description().service()),
                Field.of(
                        "softwareVersion",
                        target.description().softwareVersion().value()),
                Field.of("startedAt", target.description().startedAt()));
        refresh(target);
    }

    @Override
    public void onLeft(Target target) {
        log.write(EventCode.TARGET_LEFT, target.id().value());
        stopManaging(target);
        usageReports.remove(target);
        recentLoadRequests.remove(target);
    }

    @Override
    public void onLinkOpened(String entry) {
        ownedTargets.forEach((target, owned) -> {
            AdapterChanges.Builder changes = AdapterChanges.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(owned.slots.model())
                    .setModelPresent(target.holdsModel(owned.slots.model()));
            target.residents()
                    .forEach((adapter, version) -> changes.addLoaded(toLoadedMessage(adapter.adapter(), version)));
            links.ifPresent(open -> open.send(
                    entry, Frame.newBuilder().setAdapterChanges(changes).build()));
        });
    }

    @Override
    public void onAdapterDemand(String entry, AdapterDemand demand) {
        Optional<Target> target = registry.find(TargetId.of(demand.getTarget()));
        if (target.isEmpty() || !ownedTargets.containsKey(target.get())) {
            return;
        }
        AdapterSlots slots = ownedTargets.get(target.get()).slots;
        long now = clock.nanos();
        demand.getUsedList().forEach(name -> slots.recordUses(new AdapterName(demand.getModel(), name), 1, now));
        if (demand.getTellsRunning()) {
            slots.updateRunning(entry, toAdapterNames(demand.getModel(), demand.getRunningList()), now);
        }
        AdapterChanges.Builder response = AdapterChanges.newBuilder();
        for (AdapterLoadRequest request : demand.getLoadRequestsList()) {
            AdapterName adapter = toAdapterName(demand, request);
            if (!tryEnqueue(slots, adapter, LoadDemand.fromMessage(request, ordersLoads))) {
                response.addDeclined(adapter.adapter());
            }
        }
        if (response.getDeclinedCount() > 0) {
            response.setTarget(demand.getTarget())
                    .setStartedAt(target.get().description().startedAt())
                    .setModel(demand.getModel());
            links.ifPresent(open -> open.send(
                    entry, Frame.newBuilder().setAdapterChanges(response).build()));
        }
        poll(target.get());
    }

    private void onDeclined(TargetId target, AdapterName adapter) {
        declinedLoads.add(target, adapter, clock.nanos());
        waiters.wake(adapter);
    }

    @Override
    public boolean hasDeclined(TargetId target, AdapterName adapter) {
        return declinedLoads.contains(target, adapter, clock.nanos());
    }

    private static Set<AdapterName> toAdapterNames(String model, List<String> names) {
        return names.stream().map(name -> new AdapterName(model, name)).collect(Collectors.toUnmodifiableSet());
    }

    private static AdapterName toAdapterName(AdapterDemand demand, AdapterLoadRequest request) {
        return new AdapterName(demand.getModel(), request.getAdapter());
    }

    @Override
    public void onAdapterChanges(AdapterChanges changes) {
        Optional<Target> target = registry.find(TargetId.of(changes.getTarget()))
                .filter(known -> known.description().startedAt() == changes.getStartedAt());
        if (target.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        if (changes.getModelPresent()) {
            target.get().learnModel(changes.getModel());
        }
        for (String unloaded : changes.getUnloadedList()) {
            target.get().learnAbsent(new AdapterName(changes.getModel(), unloaded), now);
        }
        changes.getDeclinedList()
                .forEach(name -> onDeclined(target.get().id(), new AdapterName(changes.getModel(), name)));
        for (AdapterLoaded loaded : changes.getLoadedList()) {
            AdapterName adapter = new AdapterName(changes.getModel(), loaded.getAdapter());
            target.get().learnResident(adapter, loaded.getVersion(), now);
            waiters.wake(adapter);
        }
    }
}
