package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Measures the usual interval between the events of one stream.
 *
 * <p>Intended for streams whose events pause while the target prefills the prompts of other requests, and for entries that read several events
 * at once when they are busy. Confined to the event loop.
 */
final class EventPace {

    /** A shorter stream may consist of pauses alone. */
    static final int MINIMUM_ARRIVALS = 6;

    private static final int MAXIMUM_ARRIVALS = 64;

    /** Most intervals contain no pause unless the target prefills prompts all the time. */
    private static final double QUANTILE = 0.25;

    /** Covers two arrivals, since the next events arrive early if the entry has read the last ones late. */
    private static final int SPAN = 2;

    private final long[] arrivedAt = new long[MAXIMUM_ARRIVALS];
    private final int[] eventsUntil = new int[MAXIMUM_ARRIVALS];
    private int arrivals;
    private int events;

    /** Records events that arrived together. */
    void onEvents(int count, long now) {
        if (count == 0 || arrivals == MAXIMUM_ARRIVALS) {
            return;
        }
        events += count;
        arrivedAt[arrivals] = now;
        eventsUntil[arrivals] = events;
        arrivals++;
    }

    /** Gets the usual interval, empty if there were too few events or they arrived all at once. */
    Optional<Duration> usualInterval() {
        if (arrivals < MINIMUM_ARRIVALS) {
            return Optional.empty();
        }
        long[] intervals = new long[arrivals - SPAN];
        for (int index = 0; index < intervals.length; index++) {
            int end = index + SPAN;
            intervals[index] = (arrivedAt[end] - arrivedAt[index]) / (eventsUntil[end] - eventsUntil[index]);
        }
        Arrays.sort(intervals);
        return Optional.of(Duration.ofNanos(intervals[(int) (intervals.length * QUANTILE)]))
                .filter(interval -> !interval.isZero());
    }
}
