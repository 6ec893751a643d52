package org.geraniumreach.node;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;

/**
 * The arrivals beyond the first of each request at the targets of one service, held against what the service allows.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class RetryArrivals {

    private final RepeatLimits limits;
    private final long[] requests;
    private final long[] retries;

    /** The window in which the most retries beyond the allowed ones arrived, or the fewest were left. */
    record Window(int retries, int allowed) {

        int excess() {
            return retries - allowed;
        }

        double usedShare() {
            return (double) retries / allowed;
        }
    }

    /**
     * Creates the arrivals.
     *
     * @param limits the limits of the service
     * @param requestTimes the times at which callers sent their requests, in nanoseconds
     * @param arrivals all arrivals at the targets of the service
     */
    RetryArrivals(RepeatLimits limits, Collection<Long> requestTimes, Collection<FakePlatform.Arrival> arrivals) {
        this.limits = limits;
        this.requests =
                requestTimes.stream().mapToLong(Long::longValue).sorted().toArray();
        this.retries = retryTimes(arrivals);
    }

    private static long[] retryTimes(Collection<FakePlatform.Arrival> arrivals) {
        Set<String> arrived = new HashSet<>();
        List<FakePlatform.Arrival> ordered = arrivals.stream()
                .filter(FakePlatform.Arrival::isRequest)
                .sorted((one, other) -> Long.compare(one.nanos(), other.nanos()))
                .toList();
        return ordered.stream()
                .filter(arrival -> !arrived.add(arrival.requestId().orElseThrow()))
                .mapToLong(FakePlatform.Arrival::nanos)
                .toArray();
    }

    private static int countBetween(long[] times, long after, long until) {
        return countUntil(times, until) - countUntil(times, after);
    }

    private static int countUntil(long[] times, long until) {
        int found = Arrays.binarySearch(times, until);
        int index = found < 0 ? -found - 1 : found;
        while (index < times.length && times[index] <= until) {
            index++;
        }
        return index;
    }

    int total() {
        return retries.length;
    }

    /** Gets the window with the largest excess; requests count in the window, half a window before, or a window before. */
    Window worstWindow() {
        return Arrays.stream(retries)
                .mapToObj(this::windowUntil)
                .max((one, other) -> Integer.compare(one.excess(), other.excess()))
                .orElseGet(() -> new Window(0, (int) limits.extra()));
    }

    private Window windowUntil(long end) {
        long length = limits.window().toNanos();
        long counted = LongStream.of(0, length / 2, length)
                .map(shift -> countBetween(requests, end - shift - length, end - shift))
                .max()
                .orElseThrow();
        return new Window(countBetween(retries, end - length, end), (int) (limits.ratio() * counted + limits.extra()));
    }
}
