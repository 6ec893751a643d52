package org.geraniumreach.benchmarks.trial;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.model.MonotonicClock;

/** Virtual time and what is to happen in it; confined to one thread. */
final class EventLoop implements MonotonicClock {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long now;
    private long number;

    private record Event(long atNanos, long number, Runnable action) {}

    @Override
    public long nanos() {
        return now;
    }

    void after(double seconds, Runnable action) {
        events.add(new Event(now + Math.round(seconds * 1e9), number++, action));
    }

    void every(double seconds, Runnable action) {
        after(seconds, () -> {
            action.run();
            every(seconds, action);
        });
    }

    void runUntil(double seconds) {
        long end = Math.round(seconds * 1e9);
        while (!events.isEmpty() && events.peek().atNanos <= end) {
            Event event = events.poll();
            now = event.atNanos;
            event.action.run();
        }
        now = end;
    }
}
