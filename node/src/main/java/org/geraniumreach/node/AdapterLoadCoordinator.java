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
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.adapter.AdapterSlots;
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
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.AdapterNews;
import org.geraniumreach.messages.AdapterThere;
import org.geraniumreach.messages.AdapterWish;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Has adapters loaded: orders the targets that this entry holds, and asks the holders of the others.
 *
 * <p>Invariant: no order is sent to a target without the fence that the store gave this entry, asked for at the moment of the
 * sending. Confined to the event loop.
 */
final class AdapterLoadCoordinator implements AdapterLoader, TargetRegistry.Listener, EntryLinks.Listener {

    /** Between two looks while load requests wait for a slot, for the weight store or for an adapter to be idle. */
    private static final Duration LOOK = Duration.ofMillis(12);

    private static final Duration SHORTEST_LOOK = Duration.ofMillis(1);

    /** Orders are answered within 10 ms; one that is not was lost, or is carried out late, and a copy of it does no harm. */
    private static final Duration ORDER_LIMIT = Duration.ofMillis(150);

    private static final Duration REPORT_LIMIT = Duration.ofMillis(300);

    private static final Duration ASK_AGAIN = Duration.ofMillis(300);

    private final TargetRegistry book;
    private final TargetOwnership holdings;
    private final TargetPort targets;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final FetchWindow fetches = new FetchWindow();
    private final Map<Target, Held> held = new HashMap<>();
    private final NamedVersions versions;
    private final AdapterWaiters waiting = new AdapterWaiters();
    private final UsageReports usage = new UsageReports();
    private final Map<Target, Map<AdapterName, Long>> asked = new HashMap<>();
    private Optional<EntryLinks> links = Optional.empty();

    /** A target that this entry holds. */
    private static final class Held {
        private final AdapterSlots places;
        private Cancellable look = Cancellable.NOTHING;

        private Held(AdapterSlots places) {
            this.places = places;
        }
    }

    AdapterLoadCoordinator(
            TargetRegistry book,
            TargetOwnership holdings,
            TargetPort targets,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log,
            Supplier<Optional<TrafficConfiguration>> configuration) {
        this.book = Objects.requireNonNull(book, "book");
        this.holdings = Objects.requireNonNull(holdings, "holdings");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.self = holdings.self();
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.versions = new NamedVersions(clock, log);
    }

    void start(EntryLinks entryLinks) {
        links = Optional.of(entryLinks);
        timers.after(UsageReports.CHECK_INTERVAL, this::reportUsage);
    }

    /** Queries whether somebody can have adapters loaded at a target now. */
    boolean isOrderable(Target target) {
        if (holdings.fence(target.id()).isPresent()) {
            return true;
        }
        return holdings.holder(target.id())
                .filter(holder -> !holder.equals(self))
                .filter(holder -> links.isPresent() && links.get().isVisible(holder))
                .isPresent();
    }

    /** Gets the targets that hold models, which need a holder. */
    List<TargetId> needingHolder() {
        List<TargetId> needing = new ArrayList<>();
        for (Target target : book.all()) {
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
        for (Target target : book.all()) {
            boolean own = holdings.fence(target.id()).isPresent();
            if (own && !held.containsKey(target)) {
                engine(target).ifPresent(engine -> takeUp(target, engine));
            } else if (!own
                    && held.containsKey(target)
                    && !holdings.holder(target.id()).equals(Optional.of(self))) {
                letGo(target);
            }
        }
    }

    private void takeUp(Target target, ServiceDefinition.Engine engine) {
        AdapterSlots places = new AdapterSlots(
                engine.adapterPlaces(),
                engine.models().get(0),
                adapter -> Math.max(1, namedVersion(adapter)),
                fetches,
                new Changes(target, engine.models().get(0)));
        held.put(target, new Held(places));
        log.write(
                EventCode.HOLDER_CHANGED,
                target.id().value(),
                Field.of("holder", self),
                Field.of("fence", holdings.fence(target.id()).orElse(0)));
        look(target);
    }

    private void letGo(Target target) {
        Held former = held.remove(target);
        if (former != null) {
            former.look.cancel();
            former.places.close();
        }
    }

    /** Passes on what changes at a held target. */
    private final class Changes implements AdapterSlots.Listener {
        private final Target target;
        private final String model;

        private Changes(Target target, String model) {
            this.target = target;
            this.model = model;
        }

        @Override
        public void arrived(AdapterName adapter, long version) {
            target.learnResident(adapter, version, clock.nanos());
            tell(news().addThere(there(adapter.adapter(), version)));
            waiting.wake(adapter);
        }

        @Override
        public void leaves(AdapterName adapter) {
            target.learnAbsent(adapter, clock.nanos());
            tell(news().addGone(adapter.adapter()));
        }

        @Override
        public void modelArrived() {
            target.learnModel(model);
            tell(news());
        }

        private AdapterNews.Builder news() {
            return AdapterNews.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(model)
                    .setModelPresent(true);
        }

        private void tell(AdapterNews.Builder news) {
            links.ifPresent(
                    open -> open.sendAll(Frame.newBuilder().setAdapterNews(news).build()));
        }
    }

    private static AdapterThere there(String adapter, long version) {
        return AdapterThere.newBuilder().setAdapter(adapter).setVersion(version).build();
    }

    /** Makes the next call that is due at a held target, and comes back while anything is. */
    private void look(Target target) {
        Held now = held.get(target);
        if (now == null) {
            return;
        }
        now.look.cancel();
        OptionalLong fence = holdings.fence(target.id());
        if (fence.isPresent()) {
            now.places.next(clock.nanos()).ifPresent(step -> carryOut(target, now, step, fence.getAsLong()));
        }
        if (now.places.isBusy()) {
            now.look = timers.after(untilLook(now.places), () -> look(target));
        }
    }

    private Duration untilLook(AdapterSlots places) {
        Duration until = places.untilNextCall(clock.nanos()).orElse(LOOK);
        return until.compareTo(SHORTEST_LOOK) < 0 ? SHORTEST_LOOK : until;
    }

    private void carryOut(Target target, Held now, AdapterSlots.Step step, long fence) {
        if (step instanceof AdapterSlots.Step.Send send) {
            order(target, now, send, fence);
        } else {
            report(target, now);
        }
    }

    private void order(Target target, Held now, AdapterSlots.Step.Send send, long fence) {
        Order order = new Order(
                send.operation(),
                now.places.model(),
                send.adapter().map(AdapterName::adapter),
                OptionalLong.of(send.expectedOrders()),
                fence);
        OneAnswer<OrderResult> answer = new OneAnswer<>(result -> {
            logOrder(target, send, fence, result);
            now.places.answered(send, result, clock.nanos());
            if (result == OrderResult.ANOTHER_TARGET) {
                book.ended(target);
            }
            look(target);
        });
        answer.within(ORDER_LIMIT, OrderResult.UNKNOWN, timers);
        answer.from(targets.order(target, order, self, answer));
    }

    private void logOrder(Target target, AdapterSlots.Step.Send send, long fence, OrderResult result) {
        log.write(
                EventCode.ORDER_ANSWERED,
                target.id().value(),
                Field.of("operation", send.operation()),
                Field.of("adapter", send.adapter().map(AdapterName::adapter).orElse("")),
                Field.of("expectedOrders", send.expectedOrders()),
                Field.of("fence", fence),
                Field.of("result", result));
    }

    private void report(Target target, Held now) {
        OneAnswer<Optional<TargetReport>> answer = new OneAnswer<>(report -> {
            if (report.isPresent()) {
                now.places.reported(report.get(), clock.nanos());
            } else {
                now.places.reportFailed(clock.nanos());
            }
            look(target);
        });
        answer.within(REPORT_LIMIT, Optional.empty(), timers);
        answer.from(targets.report(target, answer));
    }

    @Override
    public void want(Target target, AdapterName adapter, Optional<Duration> untilLate) {
        Held own = held.get(target);
        long now = clock.nanos();
        if (own != null) {
            own.places.want(adapter, lateAt(untilLate, now), now);
            look(target);
            return;
        }
        Map<AdapterName, Long> recent = asked.computeIfAbsent(target, missing -> new LinkedHashMap<>());
        recent.values().removeIf(at -> now - at > ASK_AGAIN.toNanos());
        if (recent.putIfAbsent(adapter, now) == null) {
            AdapterWish.Builder wish = AdapterWish.newBuilder()
                    .setAdapter(adapter.adapter())
                    .setWaitedFor(untilLate.isPresent())
                    .setUntilLateMillis((int) untilLate.orElse(Duration.ZERO).toMillis());
            demand(target, adapter.baseModel(), AdapterDemand.newBuilder().addWishes(wish));
        }
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
        holdings.holder(target.id()).ifPresent(holder -> links.ifPresent(open -> open.send(holder, frame)));
    }

    @Override
    public void begun(Target target, AdapterName adapter) {
        usage.began(target, adapter);
        Held own = held.get(target);
        if (own != null) {
            own.places.used(adapter, 1, clock.nanos());
        }
    }

    @Override
    public void ended(Target target, AdapterName adapter) {
        usage.ended(target, adapter);
    }

    private void reportUsage() {
        long now = clock.nanos();
        for (UsageReports.Report report : usage.due(now)) {
            Held own = held.get(report.target());
            if (own != null) {
                own.places.running(self, report.running(), now);
            } else {
                reportToOwner(report);
            }
        }
        timers.after(UsageReports.CHECK_INTERVAL, this::reportUsage);
    }

    private void reportToOwner(UsageReports.Report report) {
        Map<String, AdapterDemand.Builder> byModel = new HashMap<>();
        report.began().forEach(adapter -> byModel.computeIfAbsent(adapter.baseModel(), missing -> report())
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
    public long requiredVersion(AdapterName adapter) {
        return versions.required(adapter);
    }

    /** Gets the versions that the operator has named, to be kept up to date. */
    NamedVersions versions() {
        return versions;
    }

    @Override
    public void joined(Target target) {
        log.write(
                EventCode.TARGET_JOINED,
                target.id().value(),
                Field.of("service", target.description().service()),
                Field.of("startedAt", target.description().startedAt()));
        refresh();
    }

    @Override
    public void left(Target target) {
        log.write(EventCode.TARGET_LEFT, target.id().value());
        letGo(target);
        usage.forget(target);
        asked.remove(target);
    }

    @Override
    public void changed(Target target) {
        // Its row's models are in the target already.
    }

    @Override
    public void opened(String entry) {
        held.forEach((target, own) -> {
            AdapterNews.Builder news = AdapterNews.newBuilder()
                    .setTarget(target.id().value())
                    .setStartedAt(target.description().startedAt())
                    .setModel(own.places.model())
                    .setModelPresent(target.holdsModel(own.places.model()));
            target.residents().forEach((adapter, version) -> news.addThere(there(adapter.adapter(), version)));
            links.ifPresent(open ->
                    open.send(entry, Frame.newBuilder().setAdapterNews(news).build()));
        });
    }

    @Override
    public void demanded(String entry, AdapterDemand demand) {
        Optional<Target> target = book.find(TargetId.of(demand.getTarget()));
        if (target.isEmpty() || !held.containsKey(target.get())) {
            return;
        }
        AdapterSlots places = held.get(target.get()).places;
        long now = clock.nanos();
        demand.getUsedList().forEach(name -> places.used(new AdapterName(demand.getModel(), name), 1, now));
        if (demand.getTellsRunning()) {
            places.running(entry, adapters(demand.getModel(), demand.getRunningList()), now);
        }
        demand.getWishesList().forEach(wish -> places.want(adapter(demand, wish), lateAt(untilLate(wish), now), now));
        look(target.get());
    }

    private static Set<AdapterName> adapters(String model, List<String> names) {
        return names.stream().map(name -> new AdapterName(model, name)).collect(Collectors.toUnmodifiableSet());
    }

    private static AdapterName adapter(AdapterDemand demand, AdapterWish wish) {
        return new AdapterName(demand.getModel(), wish.getAdapter());
    }

    private static Optional<Duration> untilLate(AdapterWish wish) {
        return wish.getWaitedFor() ? Optional.of(Duration.ofMillis(wish.getUntilLateMillis())) : Optional.empty();
    }

    @Override
    public void news(AdapterNews news) {
        Optional<Target> target = book.find(TargetId.of(news.getTarget()))
                .filter(known -> known.description().startedAt() == news.getStartedAt());
        if (target.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        if (news.getModelPresent()) {
            target.get().learnModel(news.getModel());
        }
        for (String gone : news.getGoneList()) {
            target.get().learnAbsent(new AdapterName(news.getModel(), gone), now);
        }
        for (AdapterThere there : news.getThereList()) {
            AdapterName adapter = new AdapterName(news.getModel(), there.getAdapter());
            target.get().learnResident(adapter, there.getVersion(), now);
            waiting.wake(adapter);
        }
    }
}
