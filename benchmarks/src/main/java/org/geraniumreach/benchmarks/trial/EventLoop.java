package org.geraniumreach.benchmarks.trial;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.geraniumreach.model.MonotonicClock;

/** Runs scheduled actions in virtual time, and is the clock of that time; confined to one thread. */
final class EventLoop implements MonotonicClock {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos;
    private long nextEventNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    @Override
    public long nanos() {
        return nowNanos;
    }

    void scheduleAfter(double seconds, Runnable action) {
        events.add(new Event(nowNanos + Math.round(seconds * 1e9), nextEventNumber++, action));
    }

    void scheduleEvery(double seconds, Runnable action) {
        scheduleAfter(seconds, () -> {
            action.run();
            scheduleEvery(seconds, action);
        });
    }

    void runUntil(double seconds) {
        long end = Math.round(seconds * 1e9);
        while (!events.isEmpty() && events.peek().atNanos <= end) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.action.run();
        }
        nowNanos = end;
    }
}
