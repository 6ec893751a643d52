package org.geraniumreach.benchmarks.budget;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.model.MonotonicClock;

/** Virtual time and what is to happen in it; confined to one thread. */
final class VirtualTime implements MonotonicClock {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now;
    private long number;

    private record Event(long at, long number, Runnable action) {}

    @Override
    public long nanos() {
        return now;
    }

    double seconds() {
        return now / NANOS_PER_SECOND;
    }

    void at(long nanos, Runnable action) {
        events.add(new Event(Math.max(now, nanos), number++, action));
    }

    void after(double seconds, Runnable action) {
        at(now + (long) (seconds * NANOS_PER_SECOND), action);
    }

    void runUntil(double seconds) {
        while (!events.isEmpty() && events.peek().at() <= seconds * NANOS_PER_SECOND) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }
}
