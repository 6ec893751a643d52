package org.geraniumreach.gateway.cold;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

import org.geraniumreach.gateway.division.LimitDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Limits the requests that this entry sends to targets that have not warmed up, so that all entries together keep to such a target's rate.
 *
 * <p>Intended for targets that restart together and crash under their usual load.
 *
 * <p>Invariants: in any {@link #WINDOW} this entry sends a cold target at most its share of the limit, counting requests sent before the target
 * became cold. A process sends cold targets nothing during its first window, since its former incarnation may have used up the share. Confined to
 * the event loop.
 */
public final class ColdStartLimiter implements TargetRegistry.Listener {

    /** Longer than the second that the limit applies to, since requests take different times to arrive. */
    static final Duration WINDOW = Duration.ofMillis(1_100);

    private final Function<String, Optional<ServiceDefinition>> findService;
    private final Tolerance tolerance;
    private final LimitDivision division;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<Target, Long> coldUntil = new HashMap<>();
    private final long createdAt;

    /**
     * The margin by which requests to a cold target may exceed its rate.
     *
     * @param ratio the factor applied to the rate, not negative
     * @param extra the additional requests per second, not negative
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
     * Creates a limiter without targets.
     *
     * @param findService finds a service by its name, not null
     * @param tolerance the margin over a cold target's rate, not null
     * @param division divides the limit among entries, not null
     * @param clock the clock, not null
     * @param log receives decisions, not null
     */
    public ColdStartLimiter(
            Function<String, Optional<ServiceDefinition>> findService,
            Tolerance tolerance,
            LimitDivision division,
            MonotonicClock clock,
            DecisionLog log) {
        this.findService = Objects.requireNonNull(findService, "findService");
        this.tolerance = Objects.requireNonNull(tolerance, "tolerance");
        this.division = Objects.requireNonNull(division, "division");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.createdAt = clock.nanos();
    }

    @Override
    public void onJoined(Target target) {
        onChanged(target);
    }

    @Override
    public void onChanged(Target target) {
        long now = clock.nanos();
        Duration remaining = target.description().coldFor().orElseGet(() -> estimateColdTime(target));
        if (remaining.isZero()) {
            coldUntil.remove(target);
            return;
        }
        if (coldUntil.put(target, now + remaining.toNanos()) == null) {
            log.write(EventCode.TARGET_COLD, target.id().value(), Field.of("coldMillis", remaining.toMillis()));
        }
    }

    /** An incarnation that does not report its cold time may have started when it was first seen. */
    private Duration estimateColdTime(Target target) {
        Duration coldStart = findService
                .apply(target.description().service())
                .map(ServiceDefinition::coldStart)
                .orElse(ServiceDefinition.ColdStart.NONE)
                .warmUpTime();
        Duration age = Duration.ofNanos(clock.nanos() - target.joinedAt());
        return age.compareTo(coldStart) < 0 ? coldStart.minus(age) : Duration.ZERO;
    }

    @Override
    public void onLeft(Target target) {
        coldUntil.remove(target);
    }

    /**
     * Returns whether a target has not warmed up.
     *
     * @param target the target, not null
     * @return true if it is cold
     */
    public boolean isCold(Target target) {
        Long until = coldUntil.get(target);
        return until != null && clock.nanos() < until;
    }

    /**
     * Returns whether another request may be sent to a target.
     *
     * @param target the target, not null
     * @return true if the target is warm or this entry's share is not used up
     */
    public boolean maySendTo(Target target) {
        if (!isCold(target)) {
            return true;
        }
        long now = clock.nanos();
        boolean firstWindowOver = now - createdAt >= WINDOW.toNanos();
        return firstWindowOver && target.countSends(WINDOW, now) < share(target).orElse(0);
    }

    /** Returns this entry's share, empty if the rate is unknown because the service is not configured. */
    private OptionalInt share(Target target) {
        Optional<ServiceDefinition> service =
                findService.apply(target.description().service());
        if (service.isEmpty()) {
            return OptionalInt.empty();
        }
        int limit = tolerance.limit(service.get().coldStart().requestsPerSecond());
        return OptionalInt.of(division.share(target.id().value(), limit));
    }
}
