package org.geraniumreach.gateway.rest;

import java.time.Duration;
import java.util.Objects;
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
 * The targets that have refused a call of this entry and asked it for rest.
 *
 * <p>Invariant: a rest is never shortened, since answers on different connections may overtake each other. Confined to the event loop.
 */
public final class RestingTargets implements TargetCallObserver {

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final IncarnationMap<Long> restingUntil = new IncarnationMap<>();

    /**
     * Creates an instance without resting targets.
     *
     * @param clock the clock, not null
     * @param log receives the rests that targets ask for, not null
     */
    public RestingTargets(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public Consumer<TargetSignals> onCall(Target target) {
        return signals -> signals.rest().ifPresent(rest -> startRest(target, rest));
    }

    private void startRest(Target target, Duration rest) {
        long until = clock.nanos() + rest.toNanos();
        if (restingUntil.get(target).filter(known -> known >= until).isPresent()) {
            return;
        }
        restingUntil.put(target, until);
        log.write(EventCode.TARGET_RESTING, target.id().value(), Field.of("restMillis", rest.toMillis()));
    }

    /**
     * Gets the time for which a target wants nothing from this entry.
     *
     * @param target the target, not null
     * @return the time, zero if it may be called, not null
     */
    public Duration timeUntilRested(Target target) {
        return restingUntil
                .get(target)
                .map(until -> Duration.ofNanos(Math.max(0, until - clock.nanos())))
                .orElse(Duration.ZERO);
    }
}
