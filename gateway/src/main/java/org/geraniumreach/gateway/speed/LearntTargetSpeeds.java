package org.geraniumreach.gateway.speed;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.IncarnationMap;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.Slowdown;
import org.geraniumreach.gateway.port.TargetCallObserver;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Learns the speeds of targets together with the other entries.
 *
 * <p>Intended for tens of entries, each of which relays about one stream in four seconds from each target and cannot learn its rate alone.
 * Entries send their observations to the target's owner, which learns the relative rate and publishes it to all entries.
 *
 * <p>Invariants: nothing is learnt or sent for a service until one of its targets has reported a slowdown, unless the deployment asks for
 * it. Only the owner changes the relative rate of a target; without an owner the last published rate stays in effect. The rate of a new
 * incarnation of a target is unknown. Confined to the event loop.
 */
public final class LearntTargetSpeeds
        implements TargetSpeeds, PaceObserver, TargetCallObserver, TargetRegistry.Listener {

    /** Half the time after which a slowdown tells little; at the intended load most reports hold one sample. */
    static final Duration REPORT_DELAY = Duration.ofMillis(200);

    static final int MAXIMUM_REPORTED_SAMPLES = 8;

    /** Keeps the adapters' home targets from moving several times while the first samples arrive. */
    static final Duration MINIMUM_PUBLICATION_INTERVAL = Duration.ofSeconds(2);

    /** More targets than start between a link's opening and the next update of the target rows. */
    private static final int MAXIMUM_EARLY_UPDATES = 1_024;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TargetOwnership ownership;
    private final TargetRegistry registry;
    private final boolean alwaysInEffect;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Set<String> reportingServices = new HashSet<>();
    private final Map<String, ServicePace> services = new HashMap<>();
    private final IncarnationMap<Knowledge> known = new IncarnationMap<>();
    private final Map<TargetId, EarlyUpdate> earlyUpdates = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, EarlyUpdate> eldest) {
            return size() > MAXIMUM_EARLY_UPDATES;
        }
    };
    private SpeedPeers peers = SpeedPeers.UNREACHABLE;

    /** A published rate of an incarnation whose row has not been read yet. */
    private record EarlyUpdate(long startedAt, double relativeRate) {}

    /** What is known of one incarnation of a target, and what its owner has not been told yet. */
    private static final class Knowledge {
        private final SlowdownEstimate slowdown = new SlowdownEstimate();
        private final Deque<PaceSample> unsentSamples = new ArrayDeque<>();
        private boolean slowdownUnsent;
        private Optional<Cancellable> reportTimer = Optional.empty();
        private OptionalDouble publishedRate = OptionalDouble.empty();
        private OptionalLong publishedAt = OptionalLong.empty();
        private Optional<LearntRate> learntRate = Optional.empty();

        private boolean isKnown() {
            return publishedRate.isPresent() || slowdown.isObserved();
        }

        private void addUnsent(PaceSample sample) {
            unsentSamples.addLast(sample);
            if (unsentSamples.size() > MAXIMUM_REPORTED_SAMPLES) {
                unsentSamples.removeFirst();
            }
        }
    }

    /**
     * Creates speeds of which nothing is known.
     *
     * @param ownership the owners of the targets, not null
     * @param registry the targets, not null
     * @param alwaysInEffect whether speeds are learnt also for services whose targets report no slowdown
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     * @param log receives the changes of rates, not null
     */
    public LearntTargetSpeeds(
            TargetOwnership ownership,
            TargetRegistry registry,
            boolean alwaysInEffect,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log) {
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.alwaysInEffect = alwaysInEffect;
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Sets the way to the other entries.
     *
     * @param newPeers the other entries, not null
     */
    public void setPeers(SpeedPeers newPeers) {
        peers = Objects.requireNonNull(newPeers, "newPeers");
    }

    @Override
    public TargetSpeed speedOf(Target target) {
        if (!isInEffect(target)) {
            return TargetSpeed.UNKNOWN;
        }
        return known.get(target)
                .filter(Knowledge::isKnown)
                .map(knowledge -> new TargetSpeed(
                        knowledge.publishedRate.orElse(1), knowledge.slowdown.estimate(clock.nanos()), true))
                .orElse(TargetSpeed.UNKNOWN);
    }

    @Override
    public double relativeRateOf(Target target) {
        return isInEffect(target) ? publishedRate(target) : 1;
    }

    private boolean isInEffect(Target target) {
        return alwaysInEffect || reportingServices.contains(target.description().service());
    }

    private Knowledge knowledge(Target target) {
        return known.get(target).orElseGet(() -> {
            Knowledge created = new Knowledge();
            known.put(target, created);
            return created;
        });
    }

    private boolean isOwned(Target target) {
        return ownership.fence(target.id()).isPresent();
    }

    @Override
    public Consumer<TargetSignals> onCall(Target target) {
        return signals -> signals.slowdown().ifPresent(slowdown -> onSlowdown(target, slowdown));
    }

    private void onSlowdown(Target target, Slowdown slowdown) {
        addSlowdown(target, slowdown, clock.nanos());
        // Owners pace only prompts, so the figures of a service that gets none need not be known to them.
        boolean hasPrompts = services.containsKey(target.description().service());
        if (hasPrompts && !isOwned(target)) {
            knowledge(target).slowdownUnsent = true;
            scheduleReport(target);
        }
    }

    private void addSlowdown(Target target, Slowdown slowdown, long reportedAt) {
        reportingServices.add(target.description().service());
        knowledge(target).slowdown.add(slowdown.factor(), reportedAt);
    }

    @Override
    public void onStream(Target target, PaceSample sample) {
        // Streams may outlast the row of their target; samples that arrive after onLeft would be kept for ever.
        boolean present = find(target.id(), target.description().startedAt()).isPresent();
        if (!present || !isInEffect(target)) {
            return;
        }
        service(target).add(target, sample);
        if (isOwned(target)) {
            learn(target, List.of(sample));
            return;
        }
        Knowledge knowledge = knowledge(target);
        knowledge.addUnsent(sample);
        if (knowledge.unsentSamples.size() >= MAXIMUM_REPORTED_SAMPLES) {
            report(target);
        } else {
            scheduleReport(target);
        }
    }

    private ServicePace service(Target target) {
        return services.computeIfAbsent(target.description().service(), missing -> new ServicePace());
    }

    private void scheduleReport(Target target) {
        Knowledge knowledge = knowledge(target);
        if (knowledge.reportTimer.isEmpty()) {
            knowledge.reportTimer = Optional.of(timers.schedule(REPORT_DELAY, () -> report(target)));
        }
    }

    /** Reports to the owner; without one, the newest samples are kept for the next report. */
    private void report(Target target) {
        Knowledge knowledge = knowledge(target);
        knowledge.reportTimer.ifPresent(Cancellable::cancel);
        knowledge.reportTimer = Optional.empty();
        List<PaceSample> samples = List.copyOf(knowledge.unsentSamples);
        if (isOwned(target)) {
            knowledge.unsentSamples.clear();
            learn(target, samples);
            return;
        }
        Optional<SpeedReport.Figure> figure =
                knowledge.slowdownUnsent ? Optional.of(newestFigure(knowledge)) : Optional.empty();
        boolean sent = ownership
                .holder(target.id())
                .filter(owner -> !owner.equals(ownership.self()))
                .filter(owner -> peers.sendReport(owner, target, new SpeedReport(samples, figure)))
                .isPresent();
        if (sent) {
            knowledge.unsentSamples.clear();
            knowledge.slowdownUnsent = false;
        }
    }

    private SpeedReport.Figure newestFigure(Knowledge knowledge) {
        return new SpeedReport.Figure(
                new Slowdown(knowledge.slowdown.newest()),
                Duration.ofNanos(Math.max(0, clock.nanos() - knowledge.slowdown.newestAt())));
    }

    /**
     * Applies the observations of another entry.
     *
     * @param id the target, not null
     * @param startedAt the start of the target's incarnation
     * @param report the observations, not null
     */
    public void onReport(TargetId id, long startedAt, SpeedReport report) {
        find(id, startedAt).ifPresent(target -> {
            report.figure()
                    .ifPresent(figure -> addSlowdown(
                            target,
                            figure.slowdown(),
                            clock.nanos() - figure.age().toNanos()));
            if (isInEffect(target) && isOwned(target)) {
                learn(target, report.samples());
            }
        });
    }

    private Optional<Target> find(TargetId id, long startedAt) {
        return registry.find(id).filter(target -> target.description().startedAt() == startedAt);
    }

    private void learn(Target target, List<PaceSample> samples) {
        if (samples.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        Knowledge knowledge = knowledge(target);
        if (knowledge.learntRate.isEmpty()) {
            startLearning(target, knowledge, now);
        }
        LearntRate learnt = knowledge.learntRate.get();
        samples.forEach(sample -> learnt.add(sample, now));
        if (mayPublish(knowledge, now)) {
            OptionalDouble meanPace = service(target)
                    .eventsPerMilli(registry.findByService(target.description().service()), this::publishedRate);
            if (meanPace.isPresent() && learnt.update(meanPace.getAsDouble())) {
                publish(target, knowledge, learnt, now);
            }
        }
    }

    /** Starts from what the former owner has published, and repeats it for entries that have missed it. */
    private void startLearning(Target target, Knowledge knowledge, long now) {
        LearntRate learnt = new LearntRate(knowledge.publishedRate.orElse(1));
        knowledge.learntRate = Optional.of(learnt);
        if (knowledge.publishedRate.isPresent()) {
            knowledge.publishedRate = OptionalDouble.of(learnt.rate());
            knowledge.publishedAt = OptionalLong.of(now);
            peers.publish(target, learnt.rate());
        }
    }

    private static boolean mayPublish(Knowledge knowledge, long now) {
        return knowledge.publishedAt.isEmpty()
                || now - knowledge.publishedAt.getAsLong() >= MINIMUM_PUBLICATION_INTERVAL.toNanos();
    }

    private double publishedRate(Target target) {
        return known.get(target)
                .map(knowledge -> knowledge.publishedRate.orElse(1))
                .orElse(1.0);
    }

    private void publish(Target target, Knowledge knowledge, LearntRate learnt, long now) {
        log.write(
                EventCode.TARGET_SPEED_CHANGED,
                target.id().value(),
                Field.of("from", knowledge.publishedRate.orElse(1)),
                Field.of("to", learnt.rate()),
                Field.of("samples", learnt.sampleCount()),
                Field.of("ageMillis", learnt.ageNanos(now) / NANOS_PER_MILLI));
        knowledge.publishedRate = OptionalDouble.of(learnt.rate());
        knowledge.publishedAt = OptionalLong.of(now);
        peers.publish(target, learnt.rate());
    }

    /**
     * Applies the relative rate that the owner of a target has published.
     *
     * @param id the target, not null
     * @param startedAt the start of the target's incarnation
     * @param relativeRate the rate, above 0
     */
    public void onPublished(TargetId id, long startedAt, double relativeRate) {
        Optional<Target> target = find(id, startedAt);
        if (target.isEmpty()) {
            earlyUpdates.remove(id);
            earlyUpdates.put(id, new EarlyUpdate(startedAt, relativeRate));
            return;
        }
        Knowledge knowledge = knowledge(target.get());
        if (isOwned(target.get()) && knowledge.learntRate.isPresent()) {
            return;
        }
        reportingServices.add(target.get().description().service());
        knowledge.publishedRate = OptionalDouble.of(relativeRate);
        knowledge.learntRate = Optional.empty();
    }

    /**
     * Passes on the published rates of the targets that this entry owns, for an entry that may have missed them.
     *
     * @param consumer receives the targets and their relative rates, not null
     */
    public void forEachOwnRate(BiConsumer<Target, Double> consumer) {
        registry.all().stream().filter(this::isOwned).forEach(target -> known.get(target)
                .ifPresent(knowledge ->
                        knowledge.publishedRate.ifPresent(relativeRate -> consumer.accept(target, relativeRate))));
    }

    /**
     * Summarises the relative rates of the targets with a known speed.
     *
     * @return the summary, not null
     */
    public DoubleSummaryStatistics knownRates() {
        return registry.all().stream()
                .map(this::speedOf)
                .filter(TargetSpeed::known)
                .mapToDouble(TargetSpeed::relativeRate)
                .summaryStatistics();
    }

    @Override
    public void onJoined(Target target) {
        Optional.ofNullable(earlyUpdates.get(target.id()))
                .filter(update -> update.startedAt() == target.description().startedAt())
                .ifPresent(update -> {
                    earlyUpdates.remove(target.id());
                    onPublished(target.id(), update.startedAt(), update.relativeRate());
                });
    }

    @Override
    public void onLeft(Target target) {
        known.get(target).ifPresent(knowledge -> {
            knowledge.reportTimer.ifPresent(Cancellable::cancel);
            knowledge.reportTimer = Optional.empty();
        });
        Optional.ofNullable(services.get(target.description().service())).ifPresent(service -> service.remove(target));
    }
}
