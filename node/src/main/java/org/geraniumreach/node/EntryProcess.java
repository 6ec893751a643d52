package org.geraniumreach.node;

import java.io.IOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.DoubleSummaryStatistics;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ToDoubleFunction;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.connection.IdleConnectionLimit;
import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.division.EqualDivision;
import org.geraniumreach.gateway.division.LimitDivision;
import org.geraniumreach.gateway.evacuation.Evacuations;
import org.geraniumreach.gateway.limit.LimitAdmission;
import org.geraniumreach.gateway.limit.LimitReport;
import org.geraniumreach.gateway.limit.TargetLimits;
import org.geraniumreach.gateway.overload.AcceptLimiter;
import org.geraniumreach.gateway.pacing.OwnerAdmission;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.AnnouncedDepartures;
import org.geraniumreach.gateway.placement.DepartureLog;
import org.geraniumreach.gateway.placement.EntryContext;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.PlacementSettings;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetConditions;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.placement.TargetUpdates;
import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.QuotaAdmission;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.request.AnswerMemory;
import org.geraniumreach.gateway.request.Arrival;
import org.geraniumreach.gateway.request.ExchangeServices;
import org.geraniumreach.gateway.request.ExchangeSettings;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.gateway.request.OutcomeListener;
import org.geraniumreach.gateway.request.RequestHandler;
import org.geraniumreach.gateway.request.SurplusAnswerLog;
import org.geraniumreach.gateway.rest.RestingTargets;
import org.geraniumreach.gateway.retry.RetryBudgets;
import org.geraniumreach.gateway.silence.SilentTargets;
import org.geraniumreach.gateway.speed.LearntTargetSpeeds;
import org.geraniumreach.gateway.store.FeedReader;
import org.geraniumreach.gateway.store.LeaseRenewer;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.gateway.store.StoreClock;
import org.geraniumreach.gateway.store.UnreadableRows;
import org.geraniumreach.gateway.stream.ResumableStreams;
import org.geraniumreach.gateway.stream.ServiceVersions;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.httpclient.HttpConnections;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.platform.Ingress;
import org.geraniumreach.platform.StoreClient;
import org.geraniumreach.platform.SurplusAnswerDecoder;
import org.geraniumreach.platform.TargetClient;
import org.geraniumreach.serving.retry.EjectionRules;
import org.geraniumreach.serving.retry.TargetHealth;

/**
 * The process of an entry on the users' platform.
 *
 * <p>Invariant: all decisions and all connections run on one event loop, except reading from callers. Safe for use by several threads.
 */
final class EntryProcess {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(12);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private static final Ingress.Limits INITIAL_LIMITS =
            new Ingress.Limits(16_384, 4 * 1024 * 1024, Duration.ofSeconds(75));

    /** Serving callers has priority at the start; metrics can wait. */
    private static final Duration METRICS_START_DELAY = Duration.ofMillis(1_500);

    private final ProcessSettings settings;
    private final JsonLog jsonLog;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final OptionalInt metricsPort;
    private final MonotonicClock clock = MonotonicClock.system();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop", true));
    private final EventLoop loop = group.next();
    private final Timers timers;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final long incarnation = System.currentTimeMillis();
    private final SplittableRandom random = new SplittableRandom();
    private final TargetRegistry registry = new TargetRegistry(clock);
    private final StoreAvailability storeAvailability;

    /** Availability of the targets' rows alone: while only writes fail, a missing row still means that the target has left. */
    private final StoreAvailability targetRowsAvailability;

    private final UnreadableRows unreadableRows;
    private final TargetUpdates targetUpdates;
    private final AnswerMemory answerMemory =
            AnswerMemory.ofHeap(Runtime.getRuntime().maxMemory());
    private final Lease lease = new Lease(clock, System::currentTimeMillis);
    private final TargetOwnership ownership;
    private final Quotas quotas;
    private final QuotaAdmission quotaAdmission;
    private final AcceptLimiter acceptLimiter;
    private final HttpConnections connections;
    private final StorePort store;
    private final TargetLimits targetLimits;
    private final LimitAdmission limitAdmission;
    private final RestingTargets restingTargets;
    private final AnnouncedDepartures announcedDepartures;
    private final LearntTargetSpeeds targetSpeeds;
    private final TargetClient targets;
    private final AdapterLoadCoordinator coordinator;
    private final TargetHealth health;
    private final SilentTargets silences;
    private final Evacuations evacuations;
    private final ColdStartLimiter coldStartLimiter;
    private final RetryBudgets retryBudgets;
    private final ServiceVersions versions;
    private final ResumableStreams streams;
    private final CrashGuard crashes;
    private final RequestHandler requests;
    private final LoopDelayMonitor loopDelays;
    private volatile Optional<TrafficConfiguration> configuration = Optional.empty();
    private StoreFeeds feeds;
    private volatile boolean targetsKnown;

    /** Required for readiness, because without shares every request of a limited account would be refused. */
    private volatile boolean sharesKnown;

    private volatile boolean leaseObtained;
    private volatile int evacuatedRequests;
    private volatile int coldTargets;
    private volatile int limitedTargets;
    private volatile DoubleSummaryStatistics knownTargetRates = new DoubleSummaryStatistics();
    private volatile int waitingAdmissions;
    private volatile int knownStreams;
    private volatile int refusedSuspects;
    private volatile int idleConnections;
    private volatile long excessConnections;
    private boolean wasReady;
    private Ingress ingress;
    private EntryLinks links;
    private QuotaLinks quotaLinks;
    private OwnerAdmission ownerAdmission;
    private TargetAdmissionLinks targetAdmissionLinks;
    private Optional<OrderedAdmissions> orderedAdmissions = Optional.empty();
    private TargetLimitLinks targetLimitLinks;
    private EntryDirectory directory;
    private LeaseRenewer leaseRenewer;

    EntryProcess(ProcessSettings settings, OptionalInt metricsPort, JsonLog lines) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.metricsPort = Objects.requireNonNull(metricsPort, "metricsPort");
        this.jsonLog = Objects.requireNonNull(lines, "lines");
        this.metrics = new EntryMetrics(lines);
        this.log = metrics;
        this.timers = new EventLoopTimers(loop, log);
        this.connections =
                new HttpConnections(loop, clock, CONNECT_TIMEOUT, new SurplusAnswerDecoder(new SurplusAnswerLog(log)));
        this.storeAvailability = new StoreAvailability(clock, log, "");
        this.targetRowsAvailability = new StoreAvailability(clock, log, "targets");
        this.unreadableRows = new UnreadableRows(log);
        this.targetUpdates = new TargetUpdates(registry, unreadableRows);
        this.ownership = new TargetOwnership(settings.instance(), incarnation, lease, clock);
        this.quotas = new Quotas(settings.instance(), lease, settings.quotaTolerance(), clock, log);
        this.quotaAdmission = new QuotaAdmission(quotas, this::requestUnits, timers, clock, new Random());
        this.acceptLimiter = new AcceptLimiter(clock, log);
        this.store = new StoreClient(connections, settings.storeAddress());
        this.targetLimits = new TargetLimits(clock, log);
        this.restingTargets = new RestingTargets(clock, log);
        this.announcedDepartures = new AnnouncedDepartures(registry, log);
        this.targetSpeeds = new LearntTargetSpeeds(
                ownership,
                registry,
                settings.hasFeature(ProcessSettings.Feature.ORDERED_ADMISSION),
                timers,
                clock,
                log);
        LimitDivision equalDivision = new EqualDivision(settings.instance(), () -> directory.knownInstances());
        this.retryBudgets = new RetryBudgets(settings.repeatLimits(), equalDivision, clock);
        IdleConnectionLimit idleConnectionLimit = new IdleConnectionLimit(this::findService, equalDivision);
        this.targets = new TargetClient(
                connections,
                idleConnectionLimit::of,
                targetLimits
                        .andThen(restingTargets)
                        .andThen(announcedDepartures)
                        .andThen(targetSpeeds)
                        .andThen(retryBudgets),
                (target, reason) ->
                        log.write(EventCode.TARGET_HEAD_MALFORMED, target.value(), Field.of("reason", reason)),
                (target, reason) ->
                        log.write(EventCode.TARGET_SLOWDOWN_MALFORMED, target.value(), Field.of("reason", reason)));
        this.health = TargetHealth.create(EjectionRules.standard(), clock, random);
        this.silences = new SilentTargets(health, timers, clock);
        this.evacuations = new Evacuations(settings.evacuationLimit(), clock, log);
        this.coldStartLimiter =
                new ColdStartLimiter(this::findService, settings.coldTolerance(), equalDivision, clock, log);
        this.versions = new ServiceVersions(
                registry, () -> rowsReadAt(StorePort.Table.TARGETS), clock, System::currentTimeMillis, log);
        this.streams = new ResumableStreams(versions, timers, clock, log);
        this.crashes = new CrashGuard(targets, timers, clock, random::nextDouble, log);
        this.limitAdmission = new LimitAdmission(
                targetLimits,
                new LimitAdmission.KnownTargets(ownership, registry, this::mayAccumulateRequests),
                equalDivision,
                this::requestCall,
                timers,
                clock);
        this.coordinator = new AdapterLoadCoordinator(
                new AdapterLoadCoordinator.TargetAccess(
                        registry, ownership, this::mayBeCalled, limitAdmission::isLimited, targets),
                timers,
                clock,
                log,
                () -> configuration);
        this.requests = new RequestHandler(services(), () -> configuration, random::nextDouble);
        this.loopDelays = new LoopDelayMonitor(
                SWEEP_INTERVAL, EntryProcess::collectionMillis, EntryProcess::processorNanos, clock, log);
    }

    private Optional<ServiceDefinition> findService(String name) {
        return configuration.flatMap(current -> current.service(name));
    }

    private ExchangeServices services() {
        Placement placement = new Placement(
                registry,
                new TargetConditions(
                        target -> health.admits(target.id()) && !silences.isSilent(target),
                        coordinator::canReceiveOrders,
                        evacuations::phase,
                        coldStartLimiter::maySendTo,
                        restingTargets::timeUntilRested,
                        limitAdmission::timeUntilAvailable,
                        limitAdmission::isLimited),
                targetSpeeds,
                new EntryContext(() -> directory.reachableEntryCount(), settings.failureDomain(), random::nextDouble),
                PlacementSettings.defaults(),
                clock);
        ownerAdmission = new OwnerAdmission(
                ownership,
                registry,
                placement::netPrefillTokensPerMilli,
                targetSpeeds,
                this::requestAdmission,
                timers,
                clock);
        if (settings.hasFeature(ProcessSettings.Feature.ORDERED_ADMISSION)) {
            orderedAdmissions = Optional.of(createOrderedAdmissions(placement));
            coordinator.orderLoads();
        }
        return new ExchangeServices(
                placement,
                registry,
                this::rowsReadAt,
                () -> feeds == null ? Optional.empty() : feeds.freshness().timeUntilNextCheck(),
                targets,
                coordinator,
                quotaAdmission,
                orderedAdmissions
                        .<TargetAdmission>map(OrderedAdmissions::admission)
                        .orElse(ownerAdmission),
                limitAdmission,
                crashes,
                targetSpeeds,
                streams,
                retryBudgets,
                health,
                silences,
                timers,
                clock,
                log,
                this::onRequestEnded,
                answerMemory,
                ExchangeSettings.defaults());
    }

    private OrderedAdmissions createOrderedAdmissions(Placement placement) {
        return new OrderedAdmissions(
                new OrderedAdmissions.Dependencies(
                        ownership,
                        registry,
                        placement,
                        targetSpeeds,
                        () -> configuration,
                        ownerAdmission,
                        timers,
                        clock,
                        log),
                metrics::onAdmissionDecided);
    }

    private boolean mayBeCalled(Target target) {
        return evacuations.phase(target.description().failureDomain()) != Evacuations.Phase.DRAINED
                && restingTargets.timeUntilRested(target).isZero();
    }

    private boolean mayAccumulateRequests(Target target) {
        return silences.isSilent(target) || retryBudgets.mayAccumulate(target);
    }

    /** Sends a quota request to another entry; none is sent before the links have been started. */
    private boolean requestUnits(String entry, long number, AccountId account, double units) {
        return quotaLinks != null && quotaLinks.requestUnits(entry, number, account, units);
    }

    private boolean requestAdmission(String entry, long number, TargetId target, long promptTokens, Duration maxDelay) {
        return targetAdmissionLinks != null
                && targetAdmissionLinks.requestAdmission(entry, number, target, promptTokens, maxDelay);
    }

    private boolean requestCall(String owner, long number, Target target, LimitReport known) {
        return targetLimitLinks != null && targetLimitLinks.requestCall(owner, number, target, known);
    }

    private void onRequestEnded(OutcomeListener.Outcome outcome) {
        metrics.onRequestEnded(outcome);
        if (outcome.kind() != OutcomeListener.Kind.ANSWERED) {
            return;
        }
        log.writeRetainedIf(outcome.sends() > 1, EventCode.REQUEST_ANSWERED, outcome.id(), answeredFields(outcome));
    }

    private static Field[] answeredFields(OutcomeListener.Outcome outcome) {
        return outcome.waits()
                .appendTo(
                        Field.of("route", outcome.route().name()),
                        Field.of("status", outcome.status()),
                        Field.of("arrivals", outcome.sends()),
                        Field.of("writes", outcome.writes()),
                        Field.of("firstMillis", millis(outcome.firstPart())),
                        Field.of("firstAfterSendMillis", millis(outcome.firstPartAfterSend())),
                        Field.of(
                                "account",
                                outcome.account().map(Object::toString).orElse("")),
                        Field.of("longestPauseMillis", outcome.maximumPause().toMillis()),
                        Field.of("totalMillis", outcome.total().toMillis()));
    }

    private static long millis(Optional<Duration> duration) {
        return duration.map(Duration::toMillis).orElse(-1L);
    }

    private Cancellable receive(GatewayRequest request, Arrival arrival, CallerAnswer answer) {
        metrics.onRequestTaken(arrival, clock.nanos());
        return requests.receive(request, arrival, answer);
    }

    void start() throws IOException {
        log.write(
                EventCode.STARTING,
                settings.instance(),
                Field.of("incarnation", incarnation),
                Field.of("failureDomain", settings.failureDomain().value()));
        ingress = Ingress.start(
                new Ingress.Endpoints(settings.callerAddress(), settings.readinessAddress()),
                INITIAL_LIMITS,
                this::receive,
                acceptLimiter,
                this::isReady,
                loop,
                log);
        links = EntryLinks.start(settings, incarnation, group, coordinator, log);
        loop.execute(this::startOnLoop);
        if (metricsPort.isPresent()) {
            timers.schedule(METRICS_START_DELAY, () -> new DefaultThreadFactory("metrics", true)
                    .newThread(() -> serveMetrics(metricsPort.getAsInt()))
                    .start());
        }
    }

    /** Starts the metrics server; a failure is only logged, since callers can be served without it and monitoring notices its absence. */
    private void serveMetrics(int port) {
        metrics.gauge("geraniumreach.requests.open", "Requests read or answered now.", () -> ingress.openRequests());
        metrics.gauge("geraniumreach.rows.unreadable", "Rows of the store that cannot be read.", unreadableRows::count);
        metrics.gauge("geraniumreach.configuration.version", "The version in force, 0 for none.", () -> configuration
                .map(TrafficConfiguration::version)
                .orElse(0L));
        metrics.gauge(
                "geraniumreach.evacuated.requests",
                "Requests that run at targets of evacuated failure domains.",
                () -> evacuatedRequests);
        metrics.gauge("geraniumreach.cold.targets", "Targets that have not warmed up.", () -> coldTargets);
        metrics.gauge(
                "geraniumreach.limited.targets", "Targets that name a limit on their requests.", () -> limitedTargets);
        metrics.gauge(
                "geraniumreach.known.speed.targets", "Targets with a known speed.", () -> knownTargetRates.getCount());
        metrics.gauge(
                "geraniumreach.lowest.target.rate",
                "The lowest prefill rate of a target with a known speed, relative to its service.",
                () -> knownTargetRate(DoubleSummaryStatistics::getMin));
        metrics.gauge(
                "geraniumreach.highest.target.rate",
                "The highest prefill rate of a target with a known speed, relative to its service.",
                () -> knownTargetRate(DoubleSummaryStatistics::getMax));
        metrics.gauge(
                "geraniumreach.admission.waiting",
                "Requests that wait for their turn at the targets of this entry.",
                () -> waitingAdmissions);
        metrics.gauge(
                "geraniumreach.known.streams",
                "Streams whose beginning software version is known here.",
                () -> knownStreams);
        metrics.gauge(
                "geraniumreach.answer.bytes",
                "Bytes of targets' answers that are held until they are whole.",
                answerMemory::heldBytes);
        metrics.gauge(
                "geraniumreach.refused.suspects",
                "Requests and prompt parts that are refused because targets have ended under them.",
                () -> refusedSuspects);
        metrics.gauge(
                "geraniumreach.idle.connections",
                "Idle connections to targets and the store that are kept for the next request.",
                () -> idleConnections);
        metrics.gauge(
                "geraniumreach.excess.connections",
                "Idle connections closed since the start because more than this entry's share were idle.",
                () -> excessConnections);
        metrics.gauge(
                "geraniumreach.refused.connections",
                "Connections closed unread since the start because requests waited too long for the event loop.",
                acceptLimiter::refusedCount);
        metrics.gauge("geraniumreach.ready", "1 if callers are wanted.", () -> isReady() ? 1 : 0);
        metrics.gauge("geraniumreach.log.lines.dropped", "Lines that the log had no room for.", jsonLog::totalDropped);
        InetSocketAddress address =
                new InetSocketAddress(settings.callerAddress().getAddress(), port);
        try {
            MetricsServer.start(address, metrics::scrape);
        } catch (IOException unavailable) {
            log.write(
                    EventCode.UNEXPECTED_FAILURE,
                    "",
                    Field.of("reason", "no metrics at " + address + ": " + unavailable.getMessage()));
        }
    }

    private void startOnLoop() {
        SuspectMessages suspectMessages = new SuspectMessages(clock, log);
        directory = new EntryDirectory(
                settings,
                incarnation,
                new EntryDirectory.Dependencies(
                        store,
                        ownership,
                        quotas,
                        versions,
                        new SuspectRows(crashes, suspectMessages, System::currentTimeMillis),
                        coordinator,
                        links,
                        timers,
                        clock,
                        storeAvailability,
                        unreadableRows,
                        log));
        leaseRenewer = new LeaseRenewer(
                lease, store, timers, storeAvailability, settings.instance(), incarnation, this::onLeaseRenewed);
        targetRowsAvailability.addListener(new StoreAvailability.Listener() {
            @Override
            public void onUnreachable() {
                registry.onStoreUnavailable();
            }

            @Override
            public void onReachable() {
                registry.onStoreAvailable();
            }
        });
        registry.addListener(new DepartureLog(log));
        registry.addListener(coordinator);
        registry.addListener(new HealthUpdater());
        registry.addListener(silences);
        registry.addListener(coldStartLimiter);
        registry.addListener(limitAdmission);
        registry.addListener(ownerAdmission);
        registry.addListener(targetSpeeds);
        registry.addListener(streams);
        coordinator.start(links);
        quotaLinks = new QuotaLinks(quotas, links);
        links.onQuota(
                quotaLinks::onRequest,
                response -> quotaAdmission.onAnswer(response.getNumber(), QuotaLinks.toAdmission(response)));
        targetAdmissionLinks = new TargetAdmissionLinks(ownerAdmission, links);
        orderedAdmissions.ifPresent(ordered -> {
            registry.addListener(ordered.queues());
            ordered.start(targetAdmissionLinks, links);
        });
        targetLimitLinks = new TargetLimitLinks(targetLimits, limitAdmission, registry, links, log);
        TargetSpeedLinks.connect(targetSpeeds, links, log);
        StreamLinks.connect(streams, links, log);
        SuspectLinks.connect(crashes, links, suspectMessages);
        startFeeds();
        leaseRenewer.renew();
        ownership.setCapacity(directory::capacity);
        quotas.setEntryCapacity(directory::capacity);
        directory.start();
        sweep();
    }

    /** Limits the recorded health to known targets. */
    private final class HealthUpdater implements TargetRegistry.Listener {

        @Override
        public void onJoined(Target target) {
            health.remove(target.id());
            health.add(target.id());
        }

        @Override
        public void onLeft(Target target) {
            health.remove(target.id());
            connections.closeIdleTo(target.description().address());
        }
    }

    private void onLeaseRenewed() {
        directory.reconcile();
        long required = Math.max(ownership.term().startVersion(), quotas.term().startVersion());
        if (feeds.fleetVersion() < required) {
            log.write(
                    EventCode.LEASE_RESUMED,
                    settings.instance(),
                    Field.of("version", required),
                    Field.of("known", Math.max(0, feeds.fleetVersion())));
        }
        feeds.readFleetUpTo(required, this::onOwnersKnown);
    }

    /** Acts on what this entry owns, which is known as of the latest time at which it may have lost it. */
    private void onOwnersKnown() {
        leaseObtained = true;
        directory.reconcile();
        notifyIfStarted();
    }

    private void notifyIfStarted() {
        if (configuration.isPresent() && targetsKnown && sharesKnown && leaseObtained) {
            requests.onStarted();
        }
    }

    private OptionalLong rowsReadAt(StorePort.Table table) {
        return feeds == null ? OptionalLong.empty() : feeds.readAt(table);
    }

    private void startFeeds() {
        FeedReader.Context context = new FeedReader.Context(
                store,
                timers,
                clock,
                new StoreClock(clock),
                new DomainRelay(settings.instance(), links, directory::capacity),
                unreadableRows,
                log);
        feeds = new StoreFeeds(
                context,
                storeAvailability,
                targetRowsAvailability,
                this::onOperatorUpdate,
                this::onTargetUpdate,
                this::onFleetUpdate,
                metrics::onRowsUsed);
        ownership.term().setTableVersion(feeds::fleetVersion);
        quotas.term().setTableVersion(feeds::fleetVersion);
        links.onFeedUpdate(feeds::onUpdate);
        feeds.start();
    }

    /** Applies evacuations first, because a configuration may release requests that wait for it. */
    private void onOperatorUpdate(StorePort.TableUpdate<StorePort.OperatorItem> update) {
        evacuations.onOperatorItems(update, rowsReadAt(StorePort.Table.OPERATOR));
        for (StorePort.OperatorItem item : update.items()) {
            if (item instanceof StorePort.OperatorItem.Configuration newer) {
                applyConfiguration(newer.configuration());
            } else if (item instanceof StorePort.OperatorItem.AdapterVersion named) {
                coordinator.versions().update(named.adapter(), named.version(), rowsReadAt(StorePort.Table.OPERATOR));
            } else if (item instanceof StorePort.OperatorItem.Unreadable unreadable) {
                unreadableRows.record(StorePort.Table.OPERATOR, unreadable.key(), unreadable.reason());
            }
        }
    }

    /** Puts a configuration in force only if it is newer, since a restarted reader may get an older one from a lagging store. */
    private void applyConfiguration(TrafficConfiguration newer) {
        if (configuration.isPresent() && configuration.get().version() >= newer.version()) {
            return;
        }
        configuration = Optional.of(newer);
        quotas.configure(newer.accounts(), newer.shortestObjective());
        ingress.setLimits(newer.limits().maxBodyBytes(), newer.limits().idleTimeout());
        coordinator.refresh();
        directory.reconcile();
        log.write(EventCode.CONFIGURATION_ADVANCED, "", Field.of("version", newer.version()));
        notifyIfStarted();
    }

    private void onTargetUpdate(StorePort.TableUpdate<StorePort.TargetItem> update) {
        targetUpdates.onUpdate(update);
        targetsKnown = true;
        notifyIfStarted();
    }

    private void onFleetUpdate(StorePort.TableUpdate<StorePort.RowChange> update) {
        directory.onTableUpdate(update);
        sharesKnown = true;
        notifyIfStarted();
    }

    private void sweep() {
        loopDelays.onTimer();
        logReadinessChange();
        connections.closeIdleLongerThan(IDLE_CONNECTION_TIMEOUT);
        updateTargetGauges();
        registry.expire();
        streams.update();
        knownStreams = streams.knownStreams();
        crashes.expire();
        refusedSuspects = crashes.refusedCount();
        idleConnections = connections.idleCount();
        excessConnections = connections.excessCount();
        timers.schedule(SWEEP_INTERVAL, this::sweep);
    }

    private static long collectionMillis() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    private static long processorNanos() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system
                ? system.getProcessCpuTime()
                : 0;
    }

    /** Computes the gauges on the event loop; the scraping thread reads the results. */
    private void updateTargetGauges() {
        evacuatedRequests = registry.all().stream()
                .filter(target -> evacuations.phase(target.description().failureDomain()) != Evacuations.Phase.IN_USE)
                .mapToInt(Target::outstanding)
                .sum();
        coldTargets =
                (int) registry.all().stream().filter(coldStartLimiter::isCold).count();
        waitingAdmissions =
                orderedAdmissions.map(ordered -> ordered.queues().waiting()).orElse(0);
        limitedTargets =
                (int) registry.all().stream().filter(limitAdmission::isLimited).count();
        knownTargetRates = targetSpeeds.knownRates();
    }

    /** Gets a relative rate for the metrics; 1 while no target has a known speed. */
    private double knownTargetRate(ToDoubleFunction<DoubleSummaryStatistics> statistic) {
        DoubleSummaryStatistics rates = knownTargetRates;
        return rates.getCount() == 0 ? 1 : statistic.applyAsDouble(rates);
    }

    private void logReadinessChange() {
        boolean ready = isReady();
        if (ready == wasReady) {
            return;
        }
        wasReady = ready;
        log.write(
                ready ? EventCode.READY : EventCode.NOT_READY,
                settings.instance(),
                Field.of("draining", draining.get()),
                Field.of("configured", configuration.isPresent()),
                Field.of("targetsKnown", targetsKnown),
                Field.of("sharesKnown", sharesKnown),
                Field.of("admits", leaseObtained));
    }

    boolean isReady() {
        return !draining.get() && configuration.isPresent() && targetsKnown && sharesKnown && leaseObtained;
    }

    /** Stops accepting callers, finishes open requests, and returns when the process may exit. */
    void drain() {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        log.write(EventCode.DRAINING, settings.instance(), Field.of("open", ingress.openRequests()));
        ingress.drain();
        long startedAt = clock.nanos();
        new EntryDrain(new IngressCallers(ingress), this::releaseLease, settings.drainLimit(), clock)
                .run(
                        maxDuration -> loop.execute(() -> {
                            requests.drain(startedAt, maxDuration);
                            directory.stop();
                        }),
                        () -> loop.execute(requests::close),
                        this::endOpenRequests,
                        answered -> log.write(
                                EventCode.HOLDER_CHANGED,
                                settings.instance(),
                                Field.of("holder", ""),
                                Field.of("told", answered)));
        log.write(EventCode.DRAINED, settings.instance(), Field.of("open", ingress.openRequests()));
        ingress.terminateConnections();
        jsonLog.close();
    }

    private void endOpenRequests() {
        log.write(EventCode.DRAIN_CUT, settings.instance(), Field.of("open", ingress.openRequests()));
        loop.execute(requests::endOpenRequests);
    }

    /** Releases the lease, and with it the right to send orders to targets. */
    private void releaseLease(Runnable released) {
        loop.execute(() -> leaseRenewer.release(released));
    }
}
