package org.geraniumreach.gateway.silence;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.retry.TargetHealth;

/**
 * The targets that send nothing although requests wait for their answers.
 *
 * <p>Intended for sound targets that stand still for up to a few seconds and for lost ones, which cannot be told apart at first. New requests avoid
 * both at once, but failures count only against a target that stays silent, so that a sound one is used again as soon as it goes on.
 *
 * <p>Invariants: a target counts as silent until its next sign, for at most {@link #MAXIMUM_SILENCE}; then the failures of its silence count, or
 * with the sign they are forgotten. Confined to the event loop.
 */
public final class SilentTargets implements TargetRegistry.Listener {

    /** Several times the interval at which a target with several requests sends parts. One that has a single request may prefill as long. */
    static final Duration MINIMUM_SILENCE = Duration.ofMillis(700);

    /** Longer than most sound targets stand still; a lost one is ejected then. */
    static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(2);

    private final TargetHealth health;
    private final SilenceTimer timer;
    private final MonotonicClock clock;
    private final Map<Target, Silence> silences = new HashMap<>();

    /** The silence of one target. */
    private static final class Silence {
        private Cancellable end = Cancellable.NOOP;
        private final Set<String> requests = new HashSet<>();
    }

    /**
     * Creates an instance without silent targets.
     *
     * @param health counts the failures, not null
     * @param timers schedules the ends of silences, not null
     * @param clock the clock, not null
     */
    public SilentTargets(TargetHealth health, Timers timers, MonotonicClock clock) {
        this.health = Objects.requireNonNull(health, "health");
        this.timer = new SilenceTimer(timers, clock);
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Gets the timer for limits on the silence of targets.
     *
     * @return the timer, not null
     */
    public SilenceTimer timer() {
        return timer;
    }

    /**
     * Records that a request has waited for a part of its answer for too long, or still waits.
     *
     * @param target the target, not null
     * @param request the id of the request, not null
     * @return true if the target is silent as a whole, false if it answers other requests
     */
    public boolean onSilence(Target target, String request) {
        if (!isWithoutSign(target)) {
            health.onFailure(target.id());
            return false;
        }
        silences.computeIfAbsent(target, this::start).requests.add(request);
        return true;
    }

    /**
     * Queries whether requests wait at a target that has sent nothing of late, and which may be silent.
     *
     * @param target the target, not null
     * @return true if it may be
     */
    public boolean isWithoutSign(Target target) {
        return target.outstanding() > 0 && clock.nanos() - target.lastSignAt() >= MINIMUM_SILENCE.toNanos();
    }

    private Silence start(Target target) {
        Silence silence = new Silence();
        silence.end = timer.schedule(MAXIMUM_SILENCE, () -> end(target));
        return silence;
    }

    private void end(Target target) {
        silences.remove(target).requests.forEach(request -> health.onFailure(target.id()));
    }

    /**
     * Records that a target has sent something.
     *
     * @param target the target, not null
     * @param now the current time, in nanoseconds of the clock
     */
    public void onSign(Target target, long now) {
        target.recordSign(now);
        if (!silences.isEmpty()) {
            forget(target);
        }
    }

    /**
     * Queries whether a target is silent.
     *
     * @param target the target, not null
     * @return true if it is
     */
    public boolean isSilent(Target target) {
        return silences.containsKey(target);
    }

    /** Forgets the silence of an ended incarnation. */
    @Override
    public void onJoined(Target target) {
        forgetId(target.id());
    }

    @Override
    public void onLeft(Target target) {
        forgetId(target.id());
    }

    private void forgetId(TargetId id) {
        silences.keySet().stream()
                .filter(target -> target.id().equals(id))
                .toList()
                .forEach(this::forget);
    }

    private void forget(Target target) {
        Optional.ofNullable(silences.remove(target)).ifPresent(forgotten -> forgotten.end.cancel());
    }
}
