package org.geraniumreach.benchmarks.budget;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.model.MonotonicClock;

/** Runs scheduled actions in virtual time, and is the clock of that time; confined to one thread. */
final class VirtualTimeScheduler implements MonotonicClock {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos;
    private long nextEventNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    @Override
    public long nanos() {
        return nowNanos;
    }

    double seconds() {
        return nowNanos / NANOS_PER_SECOND;
    }

    void scheduleAt(long nanos, Runnable action) {
        events.add(new Event(Math.max(nowNanos, nanos), nextEventNumber++, action));
    }

    void scheduleAfter(double seconds, Runnable action) {
        scheduleAt(nowNanos + (long) (seconds * NANOS_PER_SECOND), action);
    }

    void runUntil(double seconds) {
        while (!events.isEmpty() && events.peek().atNanos() <= seconds * NANOS_PER_SECOND) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }
}
