package org.geraniumreach.gateway.silence;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

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

    /** Several times the interval at which a busy target sends parts, also while it prefills a long prompt. */
    static final Duration MINIMUM_SILENCE = Duration.ofMillis(700);

    /** Longer than a sound target stands still. */
    static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(2);

    private final TargetHealth health;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Map<TargetId, Silence> silences = new HashMap<>();

    /** The silence of one target. */
    private static final class Silence {
        private Cancellable end = Cancellable.NOOP;
        private int failures;
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
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records that a request has waited for a part of its answer for too long.
     *
     * @param target the target, not null
     * @return true if the target is silent as a whole, false if it answers other requests
     */
    public boolean onSilence(Target target) {
        if (clock.nanos() - target.lastSignAt() < MINIMUM_SILENCE.toNanos()) {
            health.onFailure(target.id());
            return false;
        }
        silences.computeIfAbsent(target.id(), missing -> start(target)).failures++;
        return true;
    }

    private Silence start(Target target) {
        Silence silence = new Silence();
        silence.end = timers.schedule(MAXIMUM_SILENCE, () -> end(target.id()));
        return silence;
    }

    private void end(TargetId target) {
        Silence ended = silences.remove(target);
        for (int failure = 0; failure < ended.failures; failure++) {
            health.onFailure(target);
        }
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
        return silences.containsKey(target.id());
    }

    @Override
    public void onJoined(Target target) {
        forget(target);
    }

    @Override
    public void onLeft(Target target) {
        forget(target);
    }

    private void forget(Target target) {
        Silence forgotten = silences.remove(target.id());
        if (forgotten != null) {
            forgotten.end.cancel();
        }
    }
}
