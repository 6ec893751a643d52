package org.geraniumreach.gateway.pacing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.EntryContext;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.PlacementRequest;
import org.geraniumreach.gateway.placement.PlacementSettings;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetConditions;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.placement.VersionRule;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;

/**
 * Simulates entries that place and pace streams at engines of uneven speed. Each entry sees only the load in its own answers, and the slowdown of a
 * target up to a second late. One owner decides on all prompts.
 */
final class FleetModel {

    static final List<Double> RELATIVE_RATES = List.of(0.6, 1.0, 1.6);
    private static final int ENTRIES = 29;
    private static final int TARGETS = 36;
    private static final int SLOTS = 64;
    private static final int ADAPTER_SLOTS = 20;
    private static final int ADAPTERS = 10_000;
    private static final double ZIPF_EXPONENT = 1.2;
    private static final String MODEL = "base";
    private static final String SERVICE = "service";
    private static final Duration OBJECTIVE = Duration.ofMillis(603);
    private static final Duration LINK_DELAY = Duration.ofNanos(1_400_000);
    private static final Duration LOAD_TIME = Duration.ofMillis(250);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAXIMUM_REFUSALS = 3;
    private static final double MEAN_PROMPT_TOKENS = 1_100;

    private final VirtualTime time = new VirtualTime();
    private final long startedAt = time.nanos();
    private final Random random;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<TargetId, Engine> enginesById = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final double[] cumulativePopularity = new double[ADAPTERS];
    private final OwnerAdmission owner;
    private final boolean speedsKnown;
    private int loads;

    /** A stream at the target that answered it. */
    record Served(EngineModel.Stream stream, double relativeRate) {}

    private final List<Served> served = new ArrayList<>();
    private final List<EngineModel.Stream> all = new ArrayList<>();

    FleetModel(long seed, boolean speedsKnown) {
        this.random = new Random(seed);
        this.speedsKnown = speedsKnown;
        for (int number = 0; number < TARGETS; number++) {
            engines.add(new Engine(number, RELATIVE_RATES.get(number % RELATIVE_RATES.size())));
        }
        engines.forEach(engine -> enginesById.put(engine.id, engine));
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(new Entry());
        }
        double sum = 0;
        for (int rank = 0; rank < ADAPTERS; rank++) {
            sum += Math.pow(rank + 1, -ZIPF_EXPONENT);
            cumulativePopularity[rank] = sum;
        }
        Entry first = entries.get(0);
        owner = new OwnerAdmission(
                ownershipOfAll(),
                first.registry,
                first.placement::netPrefillTokensPerMilli,
                first.speeds(),
                (entry, number, target, tokens, delay) -> false,
                time,
                time);
    }

    private TargetOwnership ownershipOfAll() {
        Lease lease = new Lease(time, time::wallMillis);
        lease.onRenewed(lease.startRenewal(), 0);
        TargetOwnership ownership = new TargetOwnership("owner", 1, lease, time);
        for (Engine engine : engines) {
            ownership.claim(List.of(engine.id), List.of("owner"), entry -> true).ifPresent(claim -> {
                Transaction.Write write = claim.writes().get(0);
                Row row = new Row(write.key(), 5, write.value().orElseThrow());
                ownership.updateHolder(write.key().key(), Optional.of(row));
            });
        }
        renew(lease);
        return ownership;
    }

    private void renew(Lease lease) {
        time.schedule(RETRY_INTERVAL, () -> {
            lease.onRenewed(lease.startRenewal(), 0);
            renew(lease);
        });
    }

    /** Runs the fleet, and returns the streams that arrived after the warm-up. */
    List<EngineModel.Stream> run(double demand, Duration warmUp, Duration measured) {
        double tokensPerMilli = TARGETS
                * RELATIVE_RATES.stream()
                        .mapToDouble(Double::doubleValue)
                        .average()
                        .orElseThrow()
                * EngineModel.CHUNKED.tokensPerMilli();
        double meanInterval = MEAN_PROMPT_TOKENS / (tokensPerMilli * demand);
        double end = (warmUp.toNanos() + measured.toNanos()) / NANOS_PER_MILLI;
        double at = 0;
        while (at < end) {
            at -= Math.log(1 - random.nextDouble()) * meanInterval;
            time.advance(Duration.ofNanos((long) (at * NANOS_PER_MILLI) - (time.nanos() - startedAt)));
            arrive();
        }
        time.advance(Duration.ofSeconds(20));
        return all.stream()
                .filter(stream -> stream.arrivedAt() >= warmUp.toMillis())
                .toList();
    }

    List<Served> served() {
        return served;
    }

    int loads() {
        return loads;
    }

    private double millis() {
        return (time.nanos() - startedAt) / NANOS_PER_MILLI;
    }

    private void arrive() {
        int prompt = (int) Math.min(3_790, 350 + 760 * Math.exp(0.8 * random.nextGaussian() - 0.32));
        int events = (int) Math.max(6, Math.min(187, 57 * Math.exp(0.7 * random.nextGaussian() - 0.25)));
        EngineModel.Stream stream =
                new EngineModel.Stream(millis(), prompt, EngineModel.CHUNKED.tokensPerEvent() * events);
        all.add(stream);
        Entry entry = entries.get(random.nextInt(ENTRIES));
        new Journey(entry, stream, new AdapterName(MODEL, "a" + nextAdapter())).start();
    }

    private int nextAdapter() {
        double position = random.nextDouble() * cumulativePopularity[ADAPTERS - 1];
        int found = Arrays.binarySearch(cumulativePopularity, position);
        return found >= 0 ? found : Math.min(ADAPTERS - 1, -found - 1);
    }

    /** An engine whose slowdown flips between 1 and 2.5, with the adapters that it holds in the order of their use. */
    private final class Engine {
        private static final double SLOWDOWN = 2.5;
        private static final double SLOW_FRACTION = 0.15;
        private static final double SLOW_MILLIS = 600;
        private static final double HORIZON_MILLIS = 120_000;

        private final int number;
        private final TargetId id;
        private final double relativeRate;
        private final NavigableSet<Double> slowPeriods = new TreeSet<>();
        private final Map<AdapterName, Boolean> adapters = new LinkedHashMap<>(16, 0.75f, true);
        private final Map<AdapterName, List<Runnable>> pendingLoads = new HashMap<>();
        private final EngineModel model;
        private boolean stepping;

        private Engine(int number, double relativeRate) {
            this.number = number;
            this.id = TargetId.of("t" + number);
            this.relativeRate = relativeRate;
            double meanBetween = SLOW_MILLIS / SLOW_FRACTION - SLOW_MILLIS;
            double at = 0;
            while (at < HORIZON_MILLIS) {
                at -= Math.log(1 - random.nextDouble()) * meanBetween;
                slowPeriods.add(at);
                at += SLOW_MILLIS;
            }
            model = new EngineModel(EngineModel.CHUNKED, millis -> slowdownAt(millis) / relativeRate);
        }

        private double slowdownAt(double millis) {
            Double begin = slowPeriods.floor(millis);
            return begin != null && millis < begin + SLOW_MILLIS ? SLOWDOWN : 1;
        }

        private void submit(EngineModel.Stream stream) {
            model.submit(stream);
            if (!stepping) {
                step();
            }
        }

        private void step() {
            stepping = !model.isIdle();
            if (stepping) {
                double end = model.stepAt(millis());
                time.schedule(Duration.ofNanos((long) ((end - millis()) * NANOS_PER_MILLI)), this::step);
            }
        }

        private void load(AdapterName adapter, Runnable onLoaded) {
            if (adapters.containsKey(adapter)) {
                time.schedule(RETRY_INTERVAL, onLoaded);
                return;
            }
            if (!pendingLoads.containsKey(adapter)) {
                pendingLoads.put(adapter, new ArrayList<>());
                time.schedule(LOAD_TIME, () -> onLoaded(adapter));
            }
            pendingLoads.get(adapter).add(onLoaded);
        }

        private void onLoaded(AdapterName adapter) {
            List<Runnable> waiting = pendingLoads.remove(adapter);
            loads++;
            adapters.put(adapter, true);
            entries.forEach(entry -> entry.target(id).learnResident(adapter, 1, time.nanos()));
            if (adapters.size() > ADAPTER_SLOTS) {
                AdapterName evicted = adapters.keySet().iterator().next();
                adapters.remove(evicted);
                entries.forEach(entry -> entry.target(id).learnAbsent(evicted, time.nanos()));
            }
            waiting.forEach(Runnable::run);
        }
    }

    private Engine engine(Target target) {
        return enginesById.get(target.id());
    }

    private final class Entry {
        private final TargetRegistry registry = new TargetRegistry(time);
        private final double[] phases = IntStream.range(0, TARGETS)
                .mapToDouble(target -> random.nextDouble())
                .toArray();
        private final Placement placement;

        private Entry() {
            engines.forEach(engine -> registry.put(new TargetDescription(
                    engine.id,
                    1,
                    SERVICE,
                    SoftwareVersion.of("v1"),
                    new InetSocketAddress("127.0.0.1", 1),
                    FailureDomain.of("here"),
                    SLOTS,
                    false,
                    Optional.of(Duration.ZERO),
                    Map.of(MODEL, Map.of()))));
            placement = new Placement(
                    registry,
                    TargetConditions.unrestricted(),
                    speeds(),
                    new EntryContext(() -> ENTRIES, FailureDomain.of("here"), random::nextDouble),
                    PlacementSettings.defaults(),
                    time);
        }

        private Target target(TargetId id) {
            return registry.find(id).orElseThrow();
        }

        /** A figure of age a counts with weight exp(-a / 0.4 s); the rest of the weight goes to the mean figure. */
        private TargetSpeeds speeds() {
            if (!speedsKnown) {
                return TargetSpeeds.uniform();
            }
            return new KnownSpeeds(phases);
        }
    }

    /** The speeds as one entry knows them. A placement asks for the same speeds many times. */
    private final class KnownSpeeds implements TargetSpeeds {
        private static final double MEAN_SLOWDOWN = 1 + (Engine.SLOWDOWN - 1) * Engine.SLOW_FRACTION;

        private final double[] phases;
        private final TargetSpeed[] speeds = new TargetSpeed[TARGETS];
        private final long[] estimatedAt = new long[TARGETS];

        private KnownSpeeds(double[] phases) {
            this.phases = phases;
        }

        @Override
        public TargetSpeed speedOf(Target target) {
            Engine engine = engine(target);
            int number = engine.number;
            if (speeds[number] == null || estimatedAt[number] != time.nanos()) {
                speeds[number] = estimate(engine);
                estimatedAt[number] = time.nanos();
            }
            return speeds[number];
        }

        private TargetSpeed estimate(Engine engine) {
            double seconds = millis() / 1_000 + phases[engine.number];
            double age = seconds - Math.floor(seconds);
            double figure = engine.slowdownAt(millis() - age * 1_000);
            double slowdown = MEAN_SLOWDOWN + (figure - MEAN_SLOWDOWN) * Math.exp(-age / 0.4);
            return new TargetSpeed(engine.relativeRate, slowdown, true);
        }

        @Override
        public double relativeRateOf(Target target) {
            return engine(target).relativeRate;
        }
    }

    /** A request from its arrival to the end of its stream. */
    private final class Journey {
        private final Entry entry;
        private final EngineModel.Stream stream;
        private final AdapterName adapter;
        private final Set<TargetId> loading = new HashSet<>();
        private final Set<TargetId> saturated = new HashSet<>();
        private int refusals;

        private Journey(Entry entry, EngineModel.Stream stream, AdapterName adapter) {
            this.entry = entry;
            this.stream = stream;
            this.adapter = adapter;
        }

        private void start() {
            entry.placement.recordRequest(adapter, stream.promptTokens());
            place();
        }

        private Duration elapsed() {
            return Duration.ofNanos((long) ((millis() - stream.arrivedAt()) * NANOS_PER_MILLI));
        }

        private void place() {
            PlacementRequest request = new PlacementRequest(
                    SERVICE,
                    Optional.of(MODEL),
                    Optional.of(adapter),
                    0,
                    0,
                    Optional.empty(),
                    "session" + stream.arrivedAt(),
                    stream.promptTokens(),
                    OBJECTIVE,
                    elapsed().toMillis() < 350,
                    loading,
                    Set.of(),
                    saturated,
                    Set.of(),
                    VersionRule.ANY,
                    Optional.empty());
            PlacementDecision decision = entry.placement.place(request);
            if (decision instanceof PlacementDecision.Send send) {
                send.alsoLoad().ifPresent(target -> engine(target).load(adapter, () -> {}));
                requestAdmission(send.target());
            } else if (decision instanceof PlacementDecision.Load load) {
                loading.add(load.target().id());
                engine(load.target()).load(adapter, this::place);
            } else if (decision instanceof PlacementDecision.Defer defer) {
                time.schedule(defer.delay(), this::place);
            } else {
                time.schedule(RETRY_INTERVAL, this::place);
            }
        }

        private void requestAdmission(Target target) {
            if (refusals >= MAXIMUM_REFUSALS) {
                send(target);
                return;
            }
            double objective = OBJECTIVE.toMillis();
            long delay = (long)
                    Math.max(0.4 * objective, 0.65 * objective - elapsed().toMillis());
            time.schedule(LINK_DELAY, () -> {
                TargetAdmission.Decision decision =
                        owner.decideForPeer(target.id(), stream.promptTokens(), Duration.ofMillis(delay));
                time.schedule(LINK_DELAY, () -> onDecision(target, decision));
            });
        }

        private void onDecision(Target target, TargetAdmission.Decision decision) {
            if (decision.admitted()) {
                time.schedule(decision.delay(), () -> send(target));
                return;
            }
            refusals++;
            saturated.add(target.id());
            place();
        }

        private void send(Target target) {
            Engine engine = engine(target);
            boolean nonePending = target.pendingPromptTokens() == 0;
            long sentAt = time.nanos();
            target.onRequestSent(stream.promptTokens(), sentAt);
            served.add(new Served(stream, engine.relativeRate));
            stream.listen(
                    () -> time.schedule(LINK_DELAY, () -> {
                        if (nonePending) {
                            entry.placement.recordPrefill(
                                    target, stream.promptTokens(), Duration.ofNanos(time.nanos() - sentAt));
                        }
                        target.onPrefillEnded(stream.promptTokens());
                        target.onLoadReport(engine.model.load(), 0, time.nanos());
                    }),
                    () -> time.schedule(LINK_DELAY, target::onRequestEnded));
            time.schedule(LINK_DELAY, () -> {
                engine.adapters.get(adapter);
                engine.submit(stream);
            });
        }
    }
}
