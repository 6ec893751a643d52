package org.geraniumreach.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * The event log of an engine's prefix cache, which publishes events with a lag and loses some of them.
 *
 * <p>Event numbers increase by one per event, including lost ones, so a reader can detect gaps. Invariant: holds a
 * bounded number of events. Safe for use by several threads, under one lock.
 */
final class CacheEvents {

    private static final int MAXIMUM_EVENTS = 10_000;
    private static final int PERCENT = 100;

    private final long lagMillis;
    private final int lossPercent;
    private final Random random = new Random(1);
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastNumber;

    CacheEvents(long lagMillis, int lossPercent) {
        this.lagMillis = lagMillis;
        this.lossPercent = lossPercent;
    }

    synchronized void add(PrefixCache.CacheEvent event) {
        lastNumber++;
        if (random.nextInt(PERCENT) < lossPercent) {
            return;
        }
        events.add(new Event(lastNumber, event.kind(), event.block(), System.currentTimeMillis()));
        if (events.size() > MAXIMUM_EVENTS) {
            events.poll();
        }
    }

    synchronized List<Event> after(long last, int limit) {
        long newest = System.currentTimeMillis() - lagMillis;
        List<Event> matching = new ArrayList<>();
        for (Event event : events) {
            if (matching.size() < limit && event.number() > last && event.timeMillis() <= newest) {
                matching.add(event);
            }
        }
        return matching;
    }

    /**
     * A published change of the prefix cache.
     *
     * @param number the event number, from 1
     * @param kind {@code stored} or {@code evicted}
     * @param block the block's digest
     * @param timeMillis the time of the event, in milliseconds since the epoch
     */
    record Event(long number, String kind, String block, long timeMillis) {}
}
