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

    private static final int REMEMBERED = 32;

    /** Fetches of the last moments, of which the median counts. */
    private static final int RECENT = 5;

    /** Part of what most take at the most below which a load came from a target's own memory. */
    private static final double FROM_MEMORY = 0.25;

    private static final double MOST_TAKE_AT_THE_MOST = 0.75;

    /** Part of the same below which a shortest time of earlier fetches is left out; a fetch that is slowed several times is no load from memory. */
    private static final double EARLIER_FROM_MEMORY = 0.15;

    private static final int EARLIER_BLOCKS = 16;

    private final long[] nanos = new long[REMEMBERED];

    /** The shortest time of each earlier block of fetches, the oldest first. */
    private final Deque<Long> earlier = new ArrayDeque<>();

    private int count;
    private Optional<Duration> undisturbed = Optional.empty();

    void add(Duration took) {
        nanos[count % REMEMBERED] = took.toNanos();
        count++;
        long[] recent = sorted(Math.min(count, REMEMBERED));
        long mostTakeAtTheMost = recent[(int) ((recent.length - 1) * MOST_TAKE_AT_THE_MOST)];
        Optional<Duration> shortest = shortestFrom(Arrays.stream(recent), mostTakeAtTheMost * FROM_MEMORY);
        undisturbed = shorter(
                shortest,
                shortestFrom(earlier.stream().mapToLong(Long::longValue), mostTakeAtTheMost * EARLIER_FROM_MEMORY));
        if (count % REMEMBERED == 0) {
            shortest.ifPresent(this::rememberBlock);
        }
    }

    /** Guards against a weight store that is busy for long: the shortest of the last fetches alone would tell a slowed one. */
    private void rememberBlock(Duration shortest) {
        if (earlier.size() == EARLIER_BLOCKS) {
            earlier.removeFirst();
        }
        earlier.addLast(shortest.toNanos());
    }

    /** Gets the shortest time that a fetch took, empty if none is known. */
    Optional<Duration> undisturbed() {
        return undisturbed;
    }

    private static Optional<Duration> shortestFrom(LongStream nanos, double least) {
        OptionalLong shortest = nanos.filter(each -> each >= (long) least).min();
        return shortest.isPresent() ? Optional.of(Duration.ofNanos(shortest.getAsLong())) : Optional.empty();
    }

    private static Optional<Duration> shorter(Optional<Duration> one, Optional<Duration> other) {
        return Stream.of(one, other).flatMap(Optional::stream).min(Duration::compareTo);
    }

    /** Tells how many times the undisturbed time the last fetches took, 1 if nothing is known. */
    double slowness() {
        if (undisturbed.isEmpty()) {
            return 1;
        }
        long[] recent = sorted(Math.min(count, RECENT));
        return (double) recent[recent.length / 2] / undisturbed.get().toNanos();
    }

    /** Gets the newest times, the shortest first. */
    private long[] sorted(int newest) {
        long[] copy = new long[newest];
        for (int each = 0; each < newest; each++) {
            copy[each] = nanos[(count - 1 - each) % REMEMBERED];
        }
        Arrays.sort(copy);
        return copy;
    }
}
