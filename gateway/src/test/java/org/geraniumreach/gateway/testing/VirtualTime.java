package org.geraniumreach.gateway.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/** A clock and timers that move only when a test says so. */
public final class VirtualTime implements MonotonicClock, Timers {

    private static final long BEGIN = 1_000_000_000_000L;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong((Due each) -> each.at).thenComparingLong(each -> each.number));
    private long now = BEGIN;
    private long wallOffsetMillis;
    private long numbers;

    private static final class Due {
        private final long at;
        private final long number;
        private final Runnable action;
        private boolean cancelled;

        private Due(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
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
        Due added = new Due(now + Math.max(0, delay.toNanos()), numbers++, action);
        due.add(added);
        return () -> added.cancelled = true;
    }

    /** Passes time, running what comes due on the way. */
    public void pass(Duration time) {
        long until = now + time.toNanos();
        while (!due.isEmpty() && due.peek().at <= until) {
            Due next = due.poll();
            now = Math.max(now, next.at);
            if (!next.cancelled) {
                next.action.run();
            }
        }
        now = until;
    }
}
