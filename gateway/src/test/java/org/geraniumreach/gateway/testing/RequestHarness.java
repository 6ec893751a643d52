package org.geraniumreach.gateway.testing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.evacuation.Evacuations;
import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.EntryContext;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.PlacementSettings;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetConditions;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.QuotaAdmission;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.quota.ShareRow;
import org.geraniumreach.gateway.request.AdapterLoader;
import org.geraniumreach.gateway.request.AnswerMemory;
import org.geraniumreach.gateway.request.Arrival;
import org.geraniumreach.gateway.request.ExchangeServices;
import org.geraniumreach.gateway.request.ExchangeSettings;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.gateway.request.OutcomeListener;
import org.geraniumreach.gateway.request.RequestHandler;
import org.geraniumreach.gateway.retry.RetryBudgets;
import org.geraniumreach.gateway.silence.SilentTargets;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.store.RowFreshness;
import org.geraniumreach.gateway.stream.ResumableStreams;
import org.geraniumreach.gateway.stream.ServiceVersions;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.CallerLimits;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.serving.retry.EjectionRules;
import org.geraniumreach.serving.retry.TargetHealth;

/** Runs an entry's request handling with time, targets and callers controlled by a test. */
public final class RequestHarness {

    public static final String HOST = "bookings.example";
    public static final String KEY = "a-key";

    /** The key of an account whose requests are more urgent than those of {@link #KEY}. */
    public static final String URGENT_KEY = "urgent-key";

    public static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long HEAP_BYTES = 160 * 1024 * 1024;
    private static final int SLOTS_PER_TARGET = 8;
    private static final int RETRIES_PER_REQUEST = 100;
    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    private final VirtualTime time = new VirtualTime();
    private final FakeTargets targets = new FakeTargets();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final FakeAdapterLoader adapters = new FakeAdapterLoader();
    private final List<OutcomeListener.Outcome> outcomes = new ArrayList<>();
    private final List<PaceSample> paces = new ArrayList<>();
    private final AnswerMemory answerMemory = AnswerMemory.ofHeap(HEAP_BYTES);
    private final Lease lease = new Lease(time, time::wallMillis);
    private final Quotas quotas = new Quotas(
            "one", lease, new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)), time, (event, id, fields) -> {});
    private final TargetHealth health = TargetHealth.create(EjectionRules.standard(), time, new SplittableRandom(1));
    private final SilentTargets silences = new SilentTargets(health, time, time);
    private Optional<TrafficConfiguration> configuration = Optional.empty();
    private final ExchangeServices services;
    private final RequestHandler handler;
    private final Evacuations evacuations = new Evacuations(Duration.ofSeconds(5), time, (event, id, fields) -> {});
    private final ColdStartLimiter cold = new ColdStartLimiter(
            name -> configuration.flatMap(current -> current.service(name)),
            new ColdStartLimiter.Tolerance(1, 0),
            (target, limit) -> limit,
            time,
            (event, id, fields) -> {});
    private ServiceDefinition.ColdStart coldStart = ServiceDefinition.ColdStart.NONE;
    private TargetAdmission admission = TargetAdmission.unpaced();
    private final Map<TargetId, Duration> restTimes = new HashMap<>();
    private final Map<TargetId, Duration> limitWaits = new HashMap<>();
    private RequestLimiter limiter = RequestLimiter.unlimited();
    private final Map<StorePort.Table, OptionalLong> rowReadAt = new EnumMap<>(StorePort.Table.class);
    private RowFreshness rows = RowFreshness.always();
    private final List<String> loggedEvents = new ArrayList<>();
    private final List<EventCode> retainedEvents = new ArrayList<>();
    private final Map<EventCode, List<Map<String, Object>>> loggedFields = new EnumMap<>(EventCode.class);
    private TargetSpeeds speeds = TargetSpeeds.uniform();
    private final ServiceVersions versions = new ServiceVersions(
            registry, () -> OptionalLong.of(time.nanos()), time, time::wallMillis, (event, id, fields) -> {});
    private final ResumableStreams streams = new ResumableStreams(versions, time, time, this::recordEvent);
    private final CrashGuard crashes = new CrashGuard(targets, time, time, () -> 0, this::recordEvent);
    private int requestCount;
    private boolean targetsHeld = true;

    /** Records enqueued adapter loads and reports versions set by a test. */
    public static final class FakeAdapterLoader implements AdapterLoader {
        private final List<String> enqueuedLoads = new ArrayList<>();
        private final List<RequestPriority> priorities = new ArrayList<>();
        private final List<Runnable> waiters = new ArrayList<>();
        private final Set<TargetId> declining = new HashSet<>();
        private final Set<TargetId> declined = new HashSet<>();
        private final List<Consumer<AdapterName>> versionListeners = new ArrayList<>();
        private long namedVersion;
        private long requiredVersion;
        private long namedAt;
        private OptionalLong olderVersionsEndAt = OptionalLong.empty();

        @Override
        public void enqueue(Target target, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline) {
            if (mayDecline && declining.contains(target.id())) {
                declined.add(target.id());
                notifyWaiters();
                return;
            }
            enqueuedLoads.add(target.id().value() + ' ' + adapter.adapter());
        }

        @Override
        public void enqueue(
                Target target,
                AdapterName adapter,
                Optional<Duration> untilLate,
                boolean mayDecline,
                RequestPriority priority) {
            priorities.add(priority);
            enqueue(target, adapter, untilLate, mayDecline);
        }

        @Override
        public boolean hasDeclined(TargetId target, AdapterName adapter) {
            return declined.contains(target);
        }

        /** Makes targets decline loads that may be declined. */
        public void setDeclining(String... targets) {
            for (String target : targets) {
                declining.add(TargetId.of(target));
            }
        }

        @Override
        public void onRequestSent(Target target, AdapterName adapter) {
            // Adapters are never evicted.
        }

        @Override
        public void onRequestEnded(Target target, AdapterName adapter) {
            // Adapters are never evicted.
        }

        @Override
        public Cancellable await(AdapterName adapter, Runnable onChange) {
            waiters.add(onChange);
            return () -> waiters.remove(onChange);
        }

        @Override
        public long namedVersion(AdapterName adapter) {
            return namedVersion;
        }

        @Override
        public OptionalLong namedAt(AdapterName adapter) {
            return namedVersion > 0 ? OptionalLong.of(namedAt) : OptionalLong.empty();
        }

        @Override
        public long minimumVersion(AdapterName adapter) {
            return requiredVersion;
        }

        @Override
        public OptionalLong olderVersionsEndAt(AdapterName adapter) {
            return olderVersionsEndAt;
        }

        @Override
        public void onVersionNamed(Consumer<AdapterName> listener) {
            versionListeners.add(listener);
        }

        /** Names a version of an adapter, with the previous one still in use, until the given time of the clock at the latest. */
        public void nameVersion(AdapterName adapter, long version, long newOlderVersionsEndAt) {
            setVersions(version, namedVersion);
            olderVersionsEndAt = OptionalLong.of(newOlderVersionsEndAt);
            versionListeners.forEach(listener -> listener.accept(adapter));
        }

        public List<String> enqueuedLoads() {
            return enqueuedLoads;
        }

        /** Returns the priorities of the load requests that had one. */
        public List<RequestPriority> priorities() {
            return priorities;
        }

        public void setVersions(long newNamedVersion, long newRequiredVersion) {
            namedVersion = newNamedVersion;
            requiredVersion = newRequiredVersion;
        }

        /** Sets the time at which the named version became known. */
        public void setNamedAt(long newNamedAt) {
            namedAt = newNamedAt;
        }

        public void notifyWaiters() {
            List.copyOf(waiters).forEach(Runnable::run);
        }
    }

    /** Passes requests to the admission that a test has set last. */
    private final class ReplaceableAdmission implements TargetAdmission {

        @Override
        public Cancellable admit(Target target, long promptTokens, Duration maxDelay, Consumer<Decision> callback) {
            return admission.admit(target, promptTokens, maxDelay, callback);
        }

        @Override
        public boolean isOrdered() {
            return admission.isOrdered();
        }

        @Override
        public Admission request(
                Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback) {
            return admission.request(target, requestId, request, callback);
        }
    }

    public RequestHarness() {
        this(RETRIES_PER_REQUEST);
    }

    /** Creates a harness that allows a number of retries for each request. */
    public RequestHarness(double retryRatio) {
        Placement placement = new Placement(
                registry,
                new TargetConditions(
                        target -> health.admits(target.id()) && !silences.isSilent(target),
                        target -> targetsHeld,
                        evacuations::phase,
                        cold::maySendTo,
                        target -> restTimes.getOrDefault(target.id(), Duration.ZERO),
                        target -> limitWaits.getOrDefault(target.id(), Duration.ZERO),
                        target -> limitWaits.containsKey(target.id())),
                target -> speeds.speedOf(target),
                new EntryContext(() -> 1, FailureDomain.of("here"), () -> 0),
                PlacementSettings.defaults(),
                time);
        registry.addListener(silences);
        registry.addListener(streams);
        this.services = new ExchangeServices(
                placement,
                registry,
                table -> rowReadAt.getOrDefault(table, OptionalLong.empty()),
                () -> rows.timeUntilNextCheck(),
                targets,
                adapters,
                new QuotaAdmission(quotas, (entry, number, account, units) -> false, time, time, new Random(1)),
                new ReplaceableAdmission(),
                (target, onDecision) -> limiter.admit(target, onDecision),
                crashes,
                (target, sample) -> paces.add(sample),
                streams,
                new RetryBudgets(
                        new ProcessSettings.RepeatLimits(retryRatio, 0, RETRY_WINDOW), (key, limit) -> 0, time),
                health,
                silences,
                time,
                time,
                new RecordingLog(),
                outcomes::add,
                answerMemory,
                ExchangeSettings.defaults());
        this.handler = new RequestHandler(services, () -> configuration, () -> 0);
    }

    private final class RecordingLog implements DecisionLog {

        @Override
        public void write(EventCode event, String subject, Field... fields) {
            recordEvent(event, subject, fields);
        }

        @Override
        public void writeRetained(EventCode event, String subject, Field... fields) {
            retainedEvents.add(event);
            recordEvent(event, subject, fields);
        }
    }

    private void recordEvent(EventCode event, String subject, DecisionLog.Field... fields) {
        String result = Arrays.stream(fields)
                .filter(field -> field.name().equals("result"))
                .map(field -> " " + field.value())
                .findFirst()
                .orElse("");
        loggedEvents.add(event + result);
        loggedFields
                .computeIfAbsent(event, missing -> new ArrayList<>())
                .add(Arrays.stream(fields)
                        .collect(Collectors.toMap(DecisionLog.Field::name, DecisionLog.Field::value)));
    }

    /** Returns what the exchanges of the handler share. */
    public ExchangeServices services() {
        return services;
    }

    /** Returns the memory that the answers of all requests share. */
    public AnswerMemory answerMemory() {
        return answerMemory;
    }

    /** Returns the events of the retained log lines. */
    public List<EventCode> retainedEvents() {
        return retainedEvents;
    }

    /** Returns the fields of each log line of an event. */
    public List<Map<String, Object>> loggedFields(EventCode event) {
        return loggedFields.getOrDefault(event, List.of());
    }

    /** Sets the speeds of the targets, which are unknown otherwise. */
    public void setSpeeds(TargetSpeeds newSpeeds) {
        speeds = newSpeeds;
    }

    /** Returns the names of the logged events, each followed by its result if it has one. */
    public List<String> loggedEvents() {
        return loggedEvents;
    }

    /** Sets a configuration with one route, and starts the entry. */
    public RequestHarness startWithRoute(RetryPolicy retryPolicy, int maximumTargets) {
        configure(retryPolicy, maximumTargets);
        return start();
    }

    /** Returns the route of the configuration. */
    public Route route() {
        return configuration.orElseThrow().route(HOST, "/").orElseThrow();
    }

    /** Sets a configuration with one route. */
    public RequestHarness configure(RetryPolicy retryPolicy, int maximumTargets) {
        Account account = new Account(AccountId.of("acme"), 0, 0, true, 200, OptionalInt.of(1));
        Account urgent = new Account(AccountId.of("urgent"), 0, 0, true, 200, OptionalInt.of(0));
        Route route = new Route(
                "the-route",
                HOST,
                "/",
                List.of(new Route.Destination("service", 1)),
                retryPolicy,
                TIMEOUT,
                Duration.ofMillis(800),
                maximumTargets,
                0,
                false);
        configuration = Optional.of(TrafficConfiguration.of(
                1,
                new CallerLimits(16_384, 1_000_000, Duration.ofSeconds(3), Duration.ofSeconds(15)),
                List.of(route),
                Map.of(KEY, account, URGENT_KEY, urgent),
                List.of(account, urgent),
                List.of(new ServiceDefinition("service", 100, coldStart, Optional.empty()))));
        return this;
    }

    /** Puts a configuration in force as an entry does, while requests may be under way. */
    public RequestHarness putInForce(TrafficConfiguration newer) {
        configuration = Optional.of(newer);
        quotas.configure(newer.accounts(), newer.shortestObjective());
        return this;
    }

    /** Gives this entry the whole rate of an account. */
    public void takeWholeRate(AccountId account) {
        lease.onRenewed(lease.startRenewal(), 0);
        RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, "share/" + account.value());
        quotas.applyRow(key.key(), Optional.of(new Row(key, 1, "one " + ShareRow.TOTAL_PARTS + " 0\n")));
    }

    public ResumableStreams streams() {
        return streams;
    }

    public ServiceVersions versions() {
        return versions;
    }

    public RequestHarness addTarget(String name) {
        return addTarget(name, Map.of());
    }

    public RequestHarness addTarget(String name, Map<String, Map<String, Long>> models) {
        return addTarget(name, SoftwareVersion.of("v1"), models);
    }

    public RequestHarness addTarget(String name, SoftwareVersion version, Map<String, Map<String, Long>> models) {
        return addTarget(name, 1, version, models);
    }

    public RequestHarness addTarget(
            String name, long startedAt, SoftwareVersion version, Map<String, Map<String, Long>> models) {
        return addTarget("service", name, startedAt, version, models);
    }

    /** Adds a target of a service. */
    public RequestHarness addTarget(
            String service,
            String name,
            long startedAt,
            SoftwareVersion version,
            Map<String, Map<String, Long>> models) {
        return putTarget(service, name, startedAt, version, FailureDomain.of("here"), false, models);
    }

    /** Adds a target without models, or replaces its row. */
    public RequestHarness putTarget(String name, FailureDomain domain, boolean draining) {
        return putTarget("service", name, 1, SoftwareVersion.of("v1"), domain, draining, Map.of());
    }

    private RequestHarness putTarget(
            String service,
            String name,
            long startedAt,
            SoftwareVersion version,
            FailureDomain domain,
            boolean draining,
            Map<String, Map<String, Long>> models) {
        registry.put(new TargetDescription(
                TargetId.of(name),
                startedAt,
                service,
                version,
                new InetSocketAddress("127.0.0.1", 1),
                domain,
                SLOTS_PER_TARGET,
                draining,
                Optional.of(Duration.ZERO),
                models));
        health.add(TargetId.of(name));
        return this;
    }

    /** Sends a request without generation and returns the recorded answer. */
    public RecordedAnswer send() {
        return send(Optional.empty());
    }

    public RecordedAnswer send(Optional<GatewayRequest.Generation> generation) {
        RecordedAnswer answer = new RecordedAnswer();
        receive(answer, KEY, generation);
        return answer;
    }

    public Cancellable receive(RecordedAnswer answer, String key, Optional<GatewayRequest.Generation> generation) {
        requestCount++;
        return receive(answer, key, generation, "request-" + requestCount, OptionalLong.empty(), Optional.empty());
    }

    /** Sends a request that has waited unread, and returns the recorded answer. */
    public RecordedAnswer sendAfterWait(Duration unread) {
        RecordedAnswer answer = new RecordedAnswer();
        requestCount++;
        Arrival arrival = new Arrival(time.nanos() - unread.toNanos(), time.nanos());
        receive(
                answer,
                arrival,
                KEY,
                Optional.empty(),
                "request-" + requestCount,
                OptionalLong.empty(),
                Optional.empty());
        return answer;
    }

    /** Sends a request under an id, and returns the recorded answer. */
    public RecordedAnswer send(String key, String id) {
        RecordedAnswer answer = new RecordedAnswer();
        receive(answer, key, Optional.empty(), id, OptionalLong.empty(), Optional.empty());
        return answer;
    }

    /** Sends a request that takes up a stream, and returns the recorded answer. */
    public RecordedAnswer resume(String key, long lastEvent, Optional<String> firstAttempt) {
        RecordedAnswer answer = new RecordedAnswer();
        requestCount++;
        receive(answer, key, Optional.empty(), "request-" + requestCount, OptionalLong.of(lastEvent), firstAttempt);
        return answer;
    }

    /** Sends a request that takes up a stream, whose caller then leaves. */
    public void resumeAndLeave(RecordedAnswer answer, long lastEvent, String firstAttempt) {
        receive(answer, KEY, Optional.empty(), "leaving", OptionalLong.of(lastEvent), Optional.of(firstAttempt))
                .cancel();
    }

    private Cancellable receive(
            RecordedAnswer answer,
            String key,
            Optional<GatewayRequest.Generation> generation,
            String id,
            OptionalLong lastEvent,
            Optional<String> firstAttempt) {
        return receive(answer, Arrival.at(time.nanos()), key, generation, id, lastEvent, firstAttempt);
    }

    private Cancellable receive(
            RecordedAnswer answer,
            Arrival arrival,
            String key,
            Optional<GatewayRequest.Generation> generation,
            String id,
            OptionalLong lastEvent,
            Optional<String> firstAttempt) {
        return handler.receive(
                new GatewayRequest(
                        id,
                        "POST",
                        "/book",
                        HOST,
                        "/book",
                        Optional.of(key),
                        List.of(),
                        new byte[] {1},
                        TIMEOUT,
                        generation,
                        lastEvent,
                        firstAttempt),
                arrival,
                answer);
    }

    /** Sets whether targets have a holder that can order adapter loads. */
    public void setTargetsHeld(boolean newTargetsHeld) {
        targetsHeld = newTargetsHeld;
    }

    /** Evacuates a failure domain, as the operator does. */
    public void evacuate(FailureDomain domain) {
        StorePort.OperatorItem evacuation = new StorePort.OperatorItem.Evacuation(domain);
        evacuations.onOperatorItems(
                new StorePort.TableUpdate<>(List.of(evacuation), 1, false), OptionalLong.of(time.nanos()));
    }

    /** Ends the startup phase, so that requests are handled. */
    public RequestHarness start() {
        handler.onStarted();
        return this;
    }

    public void drain(Duration length) {
        drain(length, Duration.ZERO);
    }

    /** Starts a drain of which the event loop learns late. */
    public void drain(Duration length, Duration delay) {
        handler.drain(time.nanos() - delay.toNanos(), length);
    }

    public void setTargetAdmission(TargetAdmission newAdmission) {
        admission = newAdmission;
    }

    /** Sets whether what is known of the store's rows may be acted on. */
    public void setRows(RowFreshness newRows) {
        rows = newRows;
    }

    /** Sets the decisions on requests to targets that name a limit. */
    public void setLimiter(RequestLimiter newLimiter) {
        limiter = newLimiter;
    }

    /** Sets the time as of which the rows of a table are known. */
    public void setReadAt(StorePort.Table table, long readAt) {
        rowReadAt.put(table, OptionalLong.of(readAt));
    }

    /** Sets the time until a target that names a limit takes another request, zero if it takes one now. */
    public void limitTarget(String target, Duration wait) {
        limitWaits.put(TargetId.of(target), wait);
    }

    /** Sets the time for which a target wants nothing. */
    public void restTarget(String target, Duration rest) {
        restTimes.put(TargetId.of(target), rest);
    }

    public void close() {
        handler.close();
    }

    /** Ends all requests, as at the exit of the process. */
    public void endOpenRequests() {
        handler.endOpenRequests();
    }

    public VirtualTime time() {
        return time;
    }

    public FakeTargets targets() {
        return targets;
    }

    public TargetRegistry registry() {
        return registry;
    }

    public FakeAdapterLoader adapters() {
        return adapters;
    }

    /** Returns the prefill times that were passed on. */
    public List<PaceSample> paces() {
        return paces;
    }

    public List<OutcomeListener.Outcome> outcomes() {
        return outcomes;
    }

    public int openExchanges() {
        return handler.openExchanges();
    }
}
