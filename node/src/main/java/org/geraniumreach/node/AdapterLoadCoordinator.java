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
 * Has adapters loaded: orders the targets that this entry holds, and asks the holders of the others.
 *
 * <p>Invariants: no order is sent to a target without the fence that the store gave this entry, asked for at the moment of the
 * sending; nothing is sent to a target that may not be called, and what is due there is taken up when it may. Confined to the event loop.
 */
final class AdapterLoadCoordinator implements AdapterLoader, TargetRegistry.Listener, EntryLinks.Listener {

    /** Between two looks while load requests wait for a slot, for the weight store or for an adapter to be idle. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(12);

    /** Between two looks at a target that nothing may be sent to. */
    private static final Duration CLOSED_POLL_INTERVAL = Duration.ofMillis(500);

    private static final Duration SHORTEST_POLL_INTERVAL = Duration.ofMillis(1);

    /** Orders are answered within 10 ms; one that is not was lost, or is carried out late, and a copy of it does no harm. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(150);

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(300);

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    private final TargetRegistry registry;
    private final TargetOwnership ownership;
    private final Predicate<Target> mayBeCalled;
    private final TargetPort targets;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final FetchWindow fetches = new FetchWindow();
    private final Map<Target, Owned> owned = new HashMap<>();
    private final NamedVersions versions;
    private final AdapterWaiters waiting = new AdapterWaiters();
    private final UsageReports usage = new UsageReports();
    private final DeclinedLoads declines = new DeclinedLoads();
    private final Map<Target, Map<AdapterName, Long>> asked = new HashMap<>();
    private Optional<EntryLinks> links = Optional.empty();

    /** A target that this entry holds. */
    private static final class Owned {
        private final AdapterSlots slots;
        private Cancellable poll = Cancellable.NOOP;

        private Owned(AdapterSlots slots) {
            this.slots = slots;
        }
    }

    /**
     * Which targets there are, and how they are called.
     *
     * @param registry the targets
     * @param ownership who owns which
     * @param mayBeCalled whether anything may be sent to a target now
     * @param port calls them
     */
    record Targets(
            TargetRegistry registry, TargetOwnership ownership, Predicate<Target> mayBeCalled, TargetPort port) {}

    AdapterLoadCoordinator(
            Targets targets,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log,
            Supplier<Optional<TrafficConfiguration>> configuration) {
        this.registry = Objects.requireNonNull(targets.registry(), "registry");
        this.ownership = Objects.requireNonNull(targets.ownership(), "ownership");
        this.mayBeCalled = Objects.requireNonNull(targets.mayBeCalled(), "mayBeCalled");
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

    /** Queries whether somebody can have adapters loaded at a target now. */
    boolean isOrderable(Target target) {
        if (ownership.fence(target.id()).isPresent()) {
            return true;
        }
        return ownership
                .holder(target.id())
                .filter(holder -> !holder.equals(self))
                .filter(holder -> links.isPresent() && links.get().isVisible(holder))
                .isPresent();
    }

    /** Gets the targets that hold models, which need a holder. */
    List<TargetId> needingOwner() {
        List<TargetId> needing = new ArrayList<>();
        for (Target target : registry.all()) {
            if (engine(target).isPresent()) {
                needing.add(target.id());
            }
        }
        return needing;
    }

    private Optional<ServiceDefinition.Engine> engine(Target target) {
        return configuration
                .get()
                .flatMap(current -> current.service(target.description().service()))
                .flatMap(ServiceDefinition::engine)
                .filter(engine -> !engine.models().isEmpty());
    }

    /** Takes up the targets that this entry holds now, and lets go of those that it does not. */
    void refresh() {
        registry.all().forEach(this::refresh);
    }

    private void refresh(Target target) {
        boolean own = ownership.fence(target.id()).isPresent();
        if (own && !owned.containsKey(target)) {
            engine(target).ifPresent(engine -> takeUp(target, engine));
        } else if (!own
                && owned.containsKey(target)
                && !ownership.holder(target.id()).equals(Optional.of(self))) {
            letGo(target);
        }
    }

    private void takeUp(Target target, ServiceDefinition.Engine engine) {
        AdapterSlots slots = new AdapterSlots(
                engine.adapterSlots(),
                engine.models().get(0),
                adapter -> Math.max(1, namedVersion(adapter)),
                fetches,
                new Changes(target, engine.models().get(0)));
        owned.put(target, new Owned(slots));
        log.write(
                EventCode.HOLDER_CHANGED,
                target.id().value(),
                Field.of("holder", self),
                Field.of("fence", ownership.fence(target.id()).orElse(0)));
        poll(target);
    }

    private void letGo(Target target) {
        Owned former = owned.remove(target);
        if (former != null) {
            former.poll.cancel();
            former.slots.close();
        }
    }

    /** Passes on what changes at an owned target. */
    private final class Changes implements AdapterSlots.Listener {
        private final Target target;
        private final String model;

        private Changes(Target target, String model) {
            this.target = target;
            this.model = model;
        }

        @Override
        public void onAdapterLoaded(AdapterName adapter, long version) {
            target.learnResident(adapter, version, clock.nanos());
            publish(changes().addLoaded(loaded(adapter.adapter(), version)));
            waiting.wake(adapter);
        }

        @Override
        public void onAdapterUnavailable(AdapterName adapter) {
            target.learnAbsent(adapter, clock.nanos());
            publish(changes().addUnloaded(adapter.adapter()));
        }

        @Override
        public void onModelLoaded() {
            target.learnModel(model);
            publish(changes());
        }

        private AdapterChanges.Builder changes() {
            return AdapterChanges.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(model)
                    .setModelPresent(true);
        }

        private void publish(AdapterChanges.Builder changes) {
            links.ifPresent(open ->
                    open.sendAll(Frame.newBuilder().setAdapterChanges(changes).build()));
        }
    }

    private static AdapterLoaded loaded(String adapter, long version) {
        return AdapterLoaded.newBuilder()
                .setAdapter(adapter)
                .setVersion(version)
                .build();
    }

    /** Makes the next call that is due at an owned target, and comes back while anything is. */
    private void poll(Target target) {
        Owned now = owned.get(target);
        if (now == null) {
            return;
        }
        now.poll.cancel();
        if (!mayBeCalled.test(target)) {
            now.poll = timers.schedule(CLOSED_POLL_INTERVAL, () -> poll(target));
            return;
        }
        OptionalLong fence = ownership.fence(target.id());
        if (fence.isPresent()) {
            now.slots.nextCall(clock.nanos()).ifPresent(step -> carryOut(target, now, step, fence.getAsLong()));
        }
        if (now.slots.isBusy()) {
            now.poll = timers.schedule(untilPoll(now.slots), () -> poll(target));
        }
    }

    private Duration untilPoll(AdapterSlots slots) {
        Duration until = slots.untilNextCall(clock.nanos()).orElse(POLL_INTERVAL);
        return until.compareTo(SHORTEST_POLL_INTERVAL) < 0 ? SHORTEST_POLL_INTERVAL : until;
    }

    private void carryOut(Target target, Owned now, AdapterSlots.Call step, long fence) {
        if (step instanceof AdapterSlots.Call.SendOrder send) {
            order(target, now, send, fence);
        } else {
            report(target, now);
        }
    }

    private void order(Target target, Owned now, AdapterSlots.Call.SendOrder send, long fence) {
        Order order = new Order(
                send.operation(),
                now.slots.model(),
                send.adapter().map(AdapterName::adapter),
                OptionalLong.of(send.expectedOrders()),
                fence);
        OneAnswer<OrderResult> answer = new OneAnswer<>(result -> {
            logOrder(target, send, fence, result);
            now.slots.onOrderResult(send, result, clock.nanos());
            if (result == OrderResult.ANOTHER_TARGET) {
                registry.removeEnded(target);
            }
            poll(target);
        });
        answer.within(ORDER_TIMEOUT, OrderResult.UNKNOWN, timers);
        answer.from(targets.sendOrder(target, order, self, answer));
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

    private void report(Target target, Owned now) {
        OneAnswer<Optional<TargetReport>> answer = new OneAnswer<>(report -> {
            if (report.isPresent()) {
                now.slots.onReport(report.get(), clock.nanos());
            } else {
                now.slots.onReportFailed(clock.nanos());
            }
            poll(target);
        });
        answer.within(REPORT_TIMEOUT, Optional.empty(), timers);
        answer.from(targets.fetchReport(target, answer));
    }

    @Override
    public void enqueue(Target target, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline) {
        Owned own = owned.get(target);
        long now = clock.nanos();
        if (own != null) {
            if (enqueueUnlessDeclined(own.slots, adapter, untilLate, mayDecline)) {
                poll(target);
            } else {
                declined(target.id(), adapter);
            }
            return;
        }
        Map<AdapterName, Long> recent = asked.computeIfAbsent(target, missing -> new LinkedHashMap<>());
        recent.values().removeIf(at -> now - at > REQUEST_INTERVAL.toNanos());
        if (recent.putIfAbsent(adapter, now) == null) {
            AdapterLoadRequest.Builder request = AdapterLoadRequest.newBuilder()
                    .setAdapter(adapter.adapter())
                    .setWaitedFor(untilLate.isPresent())
                    .setMayDecline(mayDecline)
                    .setUntilLateMillis((int) untilLate.orElse(Duration.ZERO).toMillis());
            demand(target, adapter.baseModel(), AdapterDemand.newBuilder().addLoadRequests(request));
        }
    }

    /** Enqueues a load request, or tells that it is declined because all slots are in use. */
    private boolean enqueueUnlessDeclined(
            AdapterSlots slots, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline) {
        long now = clock.nanos();
        if (mayDecline && !slots.hasSlotFor(adapter, now)) {
            return false;
        }
        slots.enqueue(adapter, lateAt(untilLate, now), now);
        return true;
    }

    private static OptionalLong lateAt(Optional<Duration> untilLate, long now) {
        return untilLate.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(now + untilLate.get().toNanos());
    }

    private void demand(Target target, String model, AdapterDemand.Builder demand) {
        Frame frame = Frame.newBuilder()
                .setAdapterDemand(demand.setTarget(target.id().value()).setModel(model))
                .build();
        ownership.holder(target.id()).ifPresent(holder -> links.ifPresent(open -> open.send(holder, frame)));
    }

    @Override
    public void onRequestSent(Target target, AdapterName adapter) {
        usage.onRequestStarted(target, adapter);
        Owned own = owned.get(target);
        if (own != null) {
            own.slots.recordUses(adapter, 1, clock.nanos());
        }
    }

    @Override
    public void onRequestEnded(Target target, AdapterName adapter) {
        usage.onRequestEnded(target, adapter);
    }

    private void reportUsage() {
        long now = clock.nanos();
        for (UsageReports.Report report : usage.takeDue(now)) {
            Owned own = owned.get(report.target());
            if (own != null) {
                own.slots.updateRunning(self, report.running(), now);
            } else {
                reportToOwner(report);
            }
        }
        timers.schedule(UsageReports.CHECK_INTERVAL, this::reportUsage);
    }

    private void reportToOwner(UsageReports.Report report) {
        Map<String, AdapterDemand.Builder> byModel = new HashMap<>();
        report.started().forEach(adapter -> byModel.computeIfAbsent(adapter.baseModel(), missing -> report())
                .addUsed(adapter.adapter()));
        report.running().forEach(adapter -> byModel.computeIfAbsent(adapter.baseModel(), missing -> report())
                .addRunning(adapter.adapter()));
        if (byModel.isEmpty()) {
            engine(report.target())
                    .ifPresent(engine -> byModel.put(engine.models().get(0), report()));
        }
        byModel.forEach((model, demand) -> demand(report.target(), model, demand));
    }

    private static AdapterDemand.Builder report() {
        return AdapterDemand.newBuilder().setTellsRunning(true);
    }

    @Override
    public Cancellable await(AdapterName adapter, Runnable changed) {
        return waiting.add(adapter, changed);
    }

    @Override
    public long namedVersion(AdapterName adapter) {
        return versions.newest(adapter);
    }

    @Override
    public long minimumVersion(AdapterName adapter) {
        return versions.required(adapter);
    }

    /** Gets the versions that the operator has named, to be kept up to date. */
    NamedVersions versions() {
        return versions;
    }

    @Override
    public void onJoined(Target target) {
        log.write(
                EventCode.TARGET_JOINED,
                target.id().value(),
                Field.of("service", target.description().service()),
                Field.of("startedAt", target.description().startedAt()));
        refresh(target);
    }

    @Override
    public void onLeft(Target target) {
        log.write(EventCode.TARGET_LEFT, target.id().value());
        letGo(target);
        usage.remove(target);
        asked.remove(target);
    }

    @Override
    public void onChanged(Target target) {
        // Its row's models are in the target already.
    }

    @Override
    public void opened(String entry) {
        owned.forEach((target, own) -> {
            AdapterChanges.Builder changes = AdapterChanges.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(own.slots.model())
                    .setModelPresent(target.holdsModel(own.slots.model()));
            target.residents().forEach((adapter, version) -> changes.addLoaded(loaded(adapter.adapter(), version)));
            links.ifPresent(open -> open.send(
                    entry, Frame.newBuilder().setAdapterChanges(changes).build()));
        });
    }

    @Override
    public void demanded(String entry, AdapterDemand demand) {
        Optional<Target> target = registry.find(TargetId.of(demand.getTarget()));
        if (target.isEmpty() || !owned.containsKey(target.get())) {
            return;
        }
        AdapterSlots slots = owned.get(target.get()).slots;
        long now = clock.nanos();
        demand.getUsedList().forEach(name -> slots.recordUses(new AdapterName(demand.getModel(), name), 1, now));
        if (demand.getTellsRunning()) {
            slots.updateRunning(entry, adapters(demand.getModel(), demand.getRunningList()), now);
        }
        AdapterChanges.Builder answer = AdapterChanges.newBuilder();
        for (AdapterLoadRequest request : demand.getLoadRequestsList()) {
            AdapterName adapter = adapter(demand, request);
            if (!enqueueUnlessDeclined(slots, adapter, untilLate(request), request.getMayDecline())) {
                answer.addDeclined(adapter.adapter());
            }
        }
        if (answer.getDeclinedCount() > 0) {
            answer.setTarget(demand.getTarget())
                    .setStartedAt(target.get().description().startedAt())
                    .setModel(demand.getModel());
            links.ifPresent(open -> open.send(
                    entry, Frame.newBuilder().setAdapterChanges(answer).build()));
        }
        poll(target.get());
    }

    private void declined(TargetId target, AdapterName adapter) {
        declines.add(target, adapter, clock.nanos());
        waiting.wake(adapter);
    }

    @Override
    public boolean hasDeclined(TargetId target, AdapterName adapter) {
        return declines.contains(target, adapter, clock.nanos());
    }

    private static Set<AdapterName> adapters(String model, List<String> names) {
        return names.stream().map(name -> new AdapterName(model, name)).collect(Collectors.toUnmodifiableSet());
    }

    private static AdapterName adapter(AdapterDemand demand, AdapterLoadRequest request) {
        return new AdapterName(demand.getModel(), request.getAdapter());
    }

    private static Optional<Duration> untilLate(AdapterLoadRequest request) {
        return request.getWaitedFor() ? Optional.of(Duration.ofMillis(request.getUntilLateMillis())) : Optional.empty();
    }

    @Override
    public void adaptersChanged(AdapterChanges changes) {
        Optional<Target> target = registry.find(TargetId.of(changes.getTarget()))
                .filter(known -> known.description().startedAt() == changes.getStartedAt());
        if (target.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        if (changes.getModelPresent()) {
            target.get().learnModel(changes.getModel());
        }
        for (String gone : changes.getUnloadedList()) {
            target.get().learnAbsent(new AdapterName(changes.getModel(), gone), now);
        }
        changes.getDeclinedList()
                .forEach(name -> declined(target.get().id(), new AdapterName(changes.getModel(), name)));
        for (AdapterLoaded loaded : changes.getLoadedList()) {
            AdapterName adapter = new AdapterName(changes.getModel(), loaded.getAdapter());
            target.get().learnResident(adapter, loaded.getVersion(), now);
            waiting.wake(adapter);
        }
    }
}
