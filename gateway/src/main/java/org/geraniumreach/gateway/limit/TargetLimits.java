package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.IncarnationMap;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.TargetCallObserver;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * The limits that targets name in their answers, as far as this entry knows them.
 *
 * <p>Invariants: a limit never expires by itself. It ends only by an answer without a limit to a request that was sent after the last
 * answer with one, since answers on different connections may overtake each other, or by such an answer to another entry that is newer by
 * {@link #REMOTE_END_MARGIN}. Confined to the event loop.
 */
public final class TargetLimits implements TargetCallObserver {

    /** Messages between entries are not delayed for longer, since a link that is silent for this long is closed. */
    static final Duration REMOTE_END_MARGIN = Duration.ofSeconds(3);

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final IncarnationMap<NamedLimit> limits = new IncarnationMap<>();
    private ChangeListener changeListener = (target, report) -> {};

    /** A limit, or its absence, and when the target answered so. */
    private record NamedLimit(Optional<RequestRate> rate, long observedAt) {}

    /** Receives the limits that begin or end by an answer to this entry. */
    @FunctionalInterface
    public interface ChangeListener {

        /**
         * Called when a limit has begun or ended.
         *
         * @param target the target, not null
         * @param report what is known now, not null
         */
        void onChanged(Target target, LimitReport report);
    }

    /**
     * Creates an instance without limits.
     *
     * @param clock the clock, not null
     * @param log receives the limits that begin or end, not null
     */
    public TargetLimits(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Sets the listener of changes.
     *
     * @param listener the listener, not null
     */
    public void setChangeListener(ChangeListener listener) {
        changeListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Gets the limit of a target.
     *
     * @param target the target, not null
     * @return the limit, or empty if none is known
     */
    public Optional<RequestRate> limit(Target target) {
        return limits.get(target).flatMap(NamedLimit::rate);
    }

    /**
     * Gets what is known of the limit of a target, for another entry.
     *
     * @param target the target, not null
     * @return the report, or empty if the target has never named a limit
     */
    public Optional<LimitReport> report(Target target) {
        return limits.get(target)
                .map(limit -> new LimitReport(
                        limit.rate(), Duration.ofNanos(Math.max(0, clock.nanos() - limit.observedAt()))));
    }

    @Override
    public Consumer<TargetSignals> onCall(Target target) {
        long sentAt = clock.nanos();
        return signals -> onSignals(target, signals, sentAt);
    }

    private void onSignals(Target target, TargetSignals signals, long sentAt) {
        boolean ends = signals.fromExecutedRequest()
                && limits.get(target)
                        .filter(known -> sentAt >= known.observedAt())
                        .isPresent();
        if (signals.requestLimit().isPresent()) {
            update(target, new NamedLimit(signals.requestLimit(), clock.nanos()), true);
        } else if (ends) {
            update(target, new NamedLimit(Optional.empty(), sentAt), true);
        }
    }

    /**
     * Applies what another entry knows of the limit of a target.
     *
     * @param target the target, not null
     * @param report the report, not null
     */
    public void onReport(Target target, LimitReport report) {
        long observedAt = clock.nanos() - report.age().toNanos();
        Duration margin = report.rate().isPresent() ? Duration.ZERO : REMOTE_END_MARGIN;
        boolean isNewer = limits.get(target)
                .map(known -> observedAt > known.observedAt() + margin.toNanos())
                .orElse(true);
        if (isNewer) {
            update(target, new NamedLimit(report.rate(), observedAt), false);
        }
    }

    private void update(Target target, NamedLimit newer, boolean observedDirectly) {
        Optional<RequestRate> previous = limit(target);
        limits.put(target, newer);
        if (previous.equals(newer.rate())) {
            return;
        }
        log.write(
                newer.rate().isPresent() ? EventCode.TARGET_LIMITED : EventCode.TARGET_LIMIT_ENDED,
                target.id().value(),
                Field.of("perSecond", perSecond(newer.rate())),
                Field.of("observedDirectly", observedDirectly),
                Field.of("ageMillis", ageMillis(newer.observedAt())));
        if (observedDirectly && previous.isPresent() != newer.rate().isPresent()) {
            changeListener.onChanged(target, report(target).orElseThrow());
        }
    }

    /** Logs that a request is not sent, with the limit, its age and the decider. */
    void logReached(Target target, boolean byOwner, Duration retryAfter) {
        Optional<NamedLimit> known = limits.get(target);
        log.write(
                EventCode.TARGET_LIMIT_REACHED,
                target.id().value(),
                Field.of("perSecond", perSecond(known.flatMap(NamedLimit::rate))),
                Field.of(
                        "ageMillis",
                        known.map(limit -> ageMillis(limit.observedAt())).orElse(0L)),
                Field.of("byOwner", byOwner),
                Field.of("retryAfterMillis", retryAfter.toMillis()));
    }

    private static double perSecond(Optional<RequestRate> rate) {
        return rate.map(RequestRate::perSecond).orElse(0.0);
    }

    private long ageMillis(long observedAt) {
        return (clock.nanos() - observedAt) / 1_000_000;
    }
}
