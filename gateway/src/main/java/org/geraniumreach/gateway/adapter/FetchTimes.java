package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Records how long recent fetches took, and estimates the time of a fetch that is not slowed by others.
 *
 * <p>A target that changes owners may load an adapter from its own memory in a tenth of a fetch's time, which the new owner cannot
 * tell from a fetch. Such a time as the base time would make every fetch seem slow, so times far below most others are excluded
 * from it. The median of the recent fetches is used because a single slow fetch may be caused by its target. Confined to the event
 * loop.
 */
final class FetchTimes {

    private static final int HISTORY_SIZE = 32;

    /** Number of recent fetches whose median gives the slowdown. */
    private static final int RECENT_FETCHES = 5;

    /** Recent times below this fraction of the upper quartile are taken for loads from a target's own memory. */
    private static final double MIN_FETCH_FRACTION = 0.25;

    private static final double UPPER_QUARTILE = 0.75;

    /** The same for earlier blocks; lower, since the recent fetches that they are compared with may be slowed several times. */
    private static final double MIN_EARLIER_FETCH_FRACTION = 0.15;

    private static final int MAX_EARLIER_BLOCKS = 16;

    private final long[] recentNanos = new long[HISTORY_SIZE];

    /** The shortest time of each earlier block of {@link #HISTORY_SIZE} fetches, oldest first, in nanoseconds. */
    private final Deque<Long> earlierBlockMinimums = new ArrayDeque<>();

    private int count;
    private Optional<Duration> baseTime = Optional.empty();

    void add(Duration duration) {
        recentNanos[count % HISTORY_SIZE] = duration.toNanos();
        count++;
        long[] recent = newestSorted(Math.min(count, HISTORY_SIZE));
        long upperQuartile = recent[(int) ((recent.length - 1) * UPPER_QUARTILE)];
        Optional<Duration> shortest = minAtLeast(Arrays.stream(recent), upperQuartile * MIN_FETCH_FRACTION);
        baseTime = min(
                shortest,
                minAtLeast(
                        earlierBlockMinimums.stream().mapToLong(Long::longValue),
                        upperQuartile * MIN_EARLIER_FETCH_FRACTION));
        if (count % HISTORY_SIZE == 0) {
            shortest.ifPresent(this::addEarlierBlock);
        }
    }

    /** Keeps the base time correct while the weight store is busy for long and all recent fetches are slowed. */
    private void addEarlierBlock(Duration shortest) {
        if (earlierBlockMinimums.size() == MAX_EARLIER_BLOCKS) {
            earlierBlockMinimums.removeFirst();
        }
        earlierBlockMinimums.addLast(shortest.toNanos());
    }

    /** Returns the shortest time of a fetch, empty if no fetch has ended yet. */
    Optional<Duration> baseTime() {
        return baseTime;
    }

    private static Optional<Duration> minAtLeast(LongStream nanos, double threshold) {
        OptionalLong shortest = nanos.filter(time -> time >= (long) threshold).min();
        return shortest.isPresent() ? Optional.of(Duration.ofNanos(shortest.getAsLong())) : Optional.empty();
    }

    private static Optional<Duration> min(Optional<Duration> first, Optional<Duration> second) {
        return Stream.of(first, second).flatMap(Optional::stream).min(Duration::compareTo);
    }

    /** Returns the median time of the recent fetches as a multiple of the base time, 1 if no fetch has ended yet. */
    double slowdown() {
        if (baseTime.isEmpty()) {
            return 1;
        }
        long[] recent = newestSorted(Math.min(count, RECENT_FETCHES));
        return (double) recent[recent.length / 2] / baseTime.get().toNanos();
    }

    /** Returns the given number of newest times in ascending order. */
    private long[] newestSorted(int size) {
        long[] copy = new long[size];
        for (int index = 0; index < size; index++) {
            copy[index] = recentNanos[(count - 1 - index) % HISTORY_SIZE];
        }
        Arrays.sort(copy);
        return copy;
    }
}
