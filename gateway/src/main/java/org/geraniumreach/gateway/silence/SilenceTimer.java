package org.geraniumreach.gateway.silence;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/**
 * Schedules actions that act on the silence of others.
 *
 * <p>Invariant: if this process has been suspended, an action runs only after what has arrived meanwhile has been read, since otherwise all others
 * would seem silent as soon as the process goes on. Confined to the event loop.
 */
public final class SilenceTimer {

    /** Timers of a process that runs are hardly later than this, even on a busy machine. */
    private static final Duration MAXIMUM_TIMER_DELAY = Duration.ofMillis(250);

    private static final Duration READING_TIME = Duration.ofMillis(200);

    private final Timers timers;
    private final MonotonicClock clock;

    /**
     * Creates a timer.
     *
     * @param timers schedules the actions, not null
     * @param clock the clock, not null
     */
    public SilenceTimer(Timers timers, MonotonicClock clock) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Schedules an action.
     *
     * @param limit the length of the silence after which the action runs, not null
     * @param action the action, not null
     * @return cancels the action, not null
     */
    public Cancellable schedule(Duration limit, Runnable action) {
        return new Scheduled(action).start(limit);
    }

    /** A scheduled action. */
    private final class Scheduled implements Cancellable {
        private final Runnable action;
        private Cancellable timer = Cancellable.NOOP;

        private Scheduled(Runnable action) {
            this.action = action;
        }

        private Scheduled start(Duration limit) {
            long dueAt = clock.nanos() + limit.toNanos();
            timer = timers.schedule(limit, () -> onDue(dueAt));
            return this;
        }

        private void onDue(long dueAt) {
            boolean wasSuspended = clock.nanos() - dueAt > MAXIMUM_TIMER_DELAY.toNanos();
            if (wasSuspended) {
                timer = timers.schedule(READING_TIME, action);
            } else {
                action.run();
            }
        }

        @Override
        public void cancel() {
            timer.cancel();
        }
    }
}
