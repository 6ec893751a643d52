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
 * How long the last fetches took.
 *
 * <p>A load that a target made from its own memory, which a new holder does not know of, takes a tenth of a fetch. Taken for the
 * weight store's speed, it would make each fetch seem slow. So what is far shorter than most is left out of the undisturbed time, and
 * one fetch that took long, because its target was slow, does not decide by itself. Confined to the event loop.
 */
final class FetchTimes {

    private static final int HISTORY_SIZE = 32;

    /** Fetches of the last moments, of which the median counts. */
    private static final int RECENT_FETCHES = 5;

    /** Part of what most take at the most below which a load came from a target's own memory. */
    private static final double MIN_FETCH_FRACTION = 0.25;

    private static final double UPPER_QUARTILE = 0.75;

    /** Part of the same below which a shortest time of earlier fetches is left out; a fetch that is slowed several times is no load from memory. */
    private static final double MIN_EARLIER_FETCH_FRACTION = 0.15;

    private static final int MAX_EARLIER_BLOCKS = 16;

    private final long[] recentNanos = new long[HISTORY_SIZE];

    /** The shortest time of each earlier block of fetches, the oldest first. */
    private final Deque<Long> earlierBlockMinimums = new ArrayDeque<>();

    private int count;
    private Optional<Duration> baseTime = Optional.empty();

    void add(Duration took) {
        recentNanos[count % HISTORY_SIZE] = took.toNanos();
        count++;
        long[] recent = newestSorted(Math.min(count, HISTORY_SIZE));
        long mostTakeAtTheMost = recent[(int) ((recent.length - 1) * UPPER_QUARTILE)];
        Optional<Duration> shortest = minAtLeast(Arrays.stream(recent), mostTakeAtTheMost * MIN_FETCH_FRACTION);
        baseTime = min(
                shortest,
                minAtLeast(
                        earlierBlockMinimums.stream().mapToLong(Long::longValue),
                        mostTakeAtTheMost * MIN_EARLIER_FETCH_FRACTION));
        if (count % HISTORY_SIZE == 0) {
            shortest.ifPresent(this::addEarlierBlock);
        }
    }

    /** Guards against a weight store that is busy for long: the shortest of the last fetches alone would tell a slowed one. */
    private void addEarlierBlock(Duration shortest) {
        if (earlierBlockMinimums.size() == MAX_EARLIER_BLOCKS) {
            earlierBlockMinimums.removeFirst();
        }
        earlierBlockMinimums.addLast(shortest.toNanos());
    }

    /** Gets the shortest time that a fetch took, empty if none is known. */
    Optional<Duration> baseTime() {
        return baseTime;
    }

    private static Optional<Duration> minAtLeast(LongStream nanos, double least) {
        OptionalLong shortest = nanos.filter(each -> each >= (long) least).min();
        return shortest.isPresent() ? Optional.of(Duration.ofNanos(shortest.getAsLong())) : Optional.empty();
    }

    private static Optional<Duration> min(Optional<Duration> one, Optional<Duration> other) {
        return Stream.of(one, other).flatMap(Optional::stream).min(Duration::compareTo);
    }

    /** Tells how many times the undisturbed time the last fetches took, 1 if nothing is known. */
    double slowdown() {
        if (baseTime.isEmpty()) {
            return 1;
        }
        long[] recent = newestSorted(Math.min(count, RECENT_FETCHES));
        return (double) recent[recent.length / 2] / baseTime.get().toNanos();
    }

    /** Gets the newest times, the shortest first. */
    private long[] newestSorted(int newest) {
        long[] copy = new long[newest];
        for (int each = 0; each < newest; each++) {
            copy[each] = recentNanos[(count - 1 - each) % HISTORY_SIZE];
        }
        Arrays.sort(copy);
        return copy;
    }
}
