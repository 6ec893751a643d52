package org.geraniumreach.gateway.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/** A clock and timers that advance only when a test advances them. */
public final class VirtualTime implements MonotonicClock, Timers {

    private static final long START_NANOS = 1_000_000_000_000L;

    private final PriorityQueue<ScheduledAction> scheduled =
            new PriorityQueue<>(Comparator.comparingLong((ScheduledAction action) -> action.at)
                    .thenComparingLong(action -> action.sequence));
    private long now = START_NANOS;
    private long wallOffsetMillis;
    private long nextSequence;

    private static final class ScheduledAction {
        private final long at;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        private ScheduledAction(long at, long sequence, Runnable action) {
            this.at = at;
            this.sequence = sequence;
            this.action = action;
        }
    }

    @Override
    public long nanos() {
        return now;
    }

    /** Returns the wall clock time, including all steps. */
    public long wallMillis() {
        return now / 1_000_000 + wallOffsetMillis;
    }

    public void stepWallClock(Duration step) {
        wallOffsetMillis += step.toMillis();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        ScheduledAction added = new ScheduledAction(now + Math.max(0, delay.toNanos()), nextSequence++, action);
        scheduled.add(added);
        return () -> added.cancelled = true;
    }

    /** Advances the time and runs the actions that become due. */
    public void advance(Duration duration) {
        long until = now + duration.toNanos();
        while (!scheduled.isEmpty() && scheduled.peek().at <= until) {
            ScheduledAction next = scheduled.poll();
            now = Math.max(now, next.at);
            if (!next.cancelled) {
                next.action.run();
            }
        }
        now = until;
    }

    /** Advances the time as if the process were suspended: actions that become due run late, at its end. */
    public void suspend(Duration duration) {
        stall(duration);
        advance(Duration.ZERO);
    }

    /** Advances the time without running what becomes due, as if other work came before it. */
    public void stall(Duration duration) {
        now += duration.toNanos();
    }
}
