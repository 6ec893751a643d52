package org.geraniumreach.gateway.cold;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Limits what this entry sends to targets that have not warmed up, so that all entries together keep within what such a target bears.
 *
 * <p>Intended for targets that come back together and crash if they get their usual load at once.
 *
 * <p>Invariants: in any {@link #WINDOW} this entry sends a cold target at most its part of the limit; sends from before the target became cold count,
 * and nothing is sent in the first window of a process, since its former life may have used the part up. Confined to the event loop.
 */
public final class ColdTargets implements TargetRegistry.Listener {

    /** A little more than the second that the limit is for, since requests take different times to arrive. */
    static final Duration WINDOW = Duration.ofMillis(1_100);

    private final Function<String, Optional<ServiceDefinition>> findService;
    private final Tolerance tolerance;
    private final LimitDivision division;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<Target, Long> coldUntil = new HashMap<>();
    private final long createdAt;

    /**
     * How far the requests to a cold target may go beyond its rate.
     *
     * @param ratio the factor on the rate, not negative
     * @param extra the requests besides, not negative
     */
    public record Tolerance(double ratio, double extra) {

        public Tolerance {
            if (!(ratio >= 0) || !(extra >= 0)) {
                throw new IllegalArgumentException("cold tolerance below zero: " + ratio + ", " + extra);
            }
        }

        int limit(double requestsPerSecond) {
            return (int) (requestsPerSecond * ratio + extra);
        }
    }

    /**
     * Creates a limit that knows no target.
     *
     * @param services finds a service by its name, not null
     * @param tolerance how far requests may go beyond a cold target's rate, not null
     * @param division divides the limit among entries, not null
     * @param clock the clock, not null
     * @param log takes decisions, not null
     */
    public ColdTargets(
            Function<String, Optional<ServiceDefinition>> services,
            Tolerance tolerance,
            LimitDivision division,
            MonotonicClock clock,
            DecisionLog log) {
        this.findService = Objects.requireNonNull(services, "services");
        this.tolerance = Objects.requireNonNull(tolerance, "tolerance");
        this.division = Objects.requireNonNull(division, "division");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.createdAt = clock.nanos();
    }

    @Override
    public void joined(Target target) {
        changed(target);
    }

    @Override
    public void changed(Target target) {
        long now = clock.nanos();
        Duration left = target.description().coldFor().orElseGet(() -> estimateColdTime(target));
        if (left.isZero()) {
            coldUntil.remove(target);
            return;
        }
        if (coldUntil.put(target, now + left.toNanos()) == null) {
            log.write(EventCode.TARGET_COLD, target.id().value(), Field.of("coldMillis", left.toMillis()));
        }
    }

    /** A life that does not tell may have begun when it was first seen. */
    private Duration estimateColdTime(Target target) {
        Duration coldStart = findService
                .apply(target.description().service())
                .map(ServiceDefinition::coldStart)
                .orElse(ServiceDefinition.ColdStart.NONE)
                .length();
        Duration known = Duration.ofNanos(clock.nanos() - target.joinedAt());
        return known.compareTo(coldStart) < 0 ? coldStart.minus(known) : Duration.ZERO;
    }

    @Override
    public void left(Target target) {
        coldUntil.remove(target);
    }

    /**
     * Queries whether a target has not warmed up.
     *
     * @param target the target, not null
     * @return true if it is cold
     */
    public boolean isCold(Target target) {
        Long until = coldUntil.get(target);
        return until != null && clock.nanos() < until;
    }

    /**
     * Queries whether one more request may be sent to a target now.
     *
     * @param target the target, not null
     * @return true if it is warm or this entry's part is not used up
     */
    public boolean mayBeSent(Target target) {
        if (!isCold(target)) {
            return true;
        }
        long now = clock.nanos();
        boolean started = now - createdAt >= WINDOW.toNanos();
        return started && target.sentWithin(WINDOW, now) < share(target).orElse(0);
    }

    /** Without a configuration the rate is not known. */
    private OptionalInt share(Target target) {
        Optional<ServiceDefinition> service =
                findService.apply(target.description().service());
        if (service.isEmpty()) {
            return OptionalInt.empty();
        }
        int limit = tolerance.limit(service.get().coldStart().requestsPerSecond());
        return OptionalInt.of(division.share(target.id(), limit));
    }
}
