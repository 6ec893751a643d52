package org.geraniumreach.gateway.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/** A clock and timers that move only when a test says so. */
public final class VirtualTime implements MonotonicClock, Timers {

    private static final long START_NANOS = 1_000_000_000_000L;

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            Comparator.comparingLong((ScheduledAction each) -> each.at).thenComparingLong(each -> each.sequence));
    private long now = START_NANOS;
    private long wallOffsetMillis;
    private long nextSequence;

    private static final class ScheduledAction {
        private final long at;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        private ScheduledAction(long at, long number, Runnable action) {
            this.at = at;
            this.sequence = number;
            this.action = action;
        }
    }

    @Override
    public long nanos() {
        return now;
    }

    /** The time of day, which may have been stepped. */
    public long wallMillis() {
        return now / 1_000_000 + wallOffsetMillis;
    }

    public void stepWall(Duration step) {
        wallOffsetMillis += step.toMillis();
    }

    @Override
    public Cancellable after(Duration delay, Runnable action) {
        ScheduledAction added = new ScheduledAction(now + Math.max(0, delay.toNanos()), nextSequence++, action);
        scheduled.add(added);
        return () -> added.cancelled = true;
    }

    /** Passes time, running what comes due on the way. */
    public void pass(Duration time) {
        long until = now + time.toNanos();
        while (!scheduled.isEmpty() && scheduled.peek().at <= until) {
            ScheduledAction next = scheduled.poll();
            now = Math.max(now, next.at);
            if (!next.cancelled) {
                next.action.run();
            }
        }
        now = until;
    }
}
