package org.geraniumreach.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * What an engine tells of its prefix cache, late and with gaps.
 *
 * <p>Numbers rise by one over all events, lost ones included, so a reader sees the gaps. Invariant: holds a bounded number
 * of events. Safe for use by several threads, under one lock.
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
        List<Event> found = new ArrayList<>();
        for (Event event : events) {
            if (found.size() < limit && event.number() > last && event.timeMillis() <= newest) {
                found.add(event);
            }
        }
        return found;
    }

    /**
     * An event.
     *
     * @param number its number
     * @param kind stored or evicted
     * @param block the block's digest
     * @param timeMillis when it happened, since the epoch
     */
    record Event(long number, String kind, String block, long timeMillis) {}
}
