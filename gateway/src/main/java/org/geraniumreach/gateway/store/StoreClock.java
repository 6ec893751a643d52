package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * Converts times of the store's steady clock to this process's steady clock.
 *
 * <p>A reading arrives some time after it was made, so the smallest offset between the two clocks seen recently is closest to
 * the true one. Older offsets are discarded, since the clocks drift apart. Invariant: a converted time is never later than
 * the arrival of the reading. Confined to the event loop.
 */
public final class StoreClock {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration OFFSET_WINDOW = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private long minOffset = Long.MAX_VALUE;
    private long previousMinOffset = Long.MAX_VALUE;
    private long windowStart;

    /**
     * Creates a converter that has seen no reading.
     *
     * @param clock this process's steady clock, not null
     */
    public StoreClock(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.windowStart = clock.nanos();
    }

    /**
     * Converts the time of a reading that has just arrived.
     *
     * @param storeMillis the store's clock at the reading, in milliseconds
     * @return the time by this process's steady clock, in nanoseconds, at most the current time
     */
    public long toLocalNanos(long storeMillis) {
        long now = clock.nanos();
        if (now - windowStart > OFFSET_WINDOW.toNanos()) {
            previousMinOffset = minOffset;
            minOffset = Long.MAX_VALUE;
            windowStart = now;
        }
        long offset = now - storeMillis * NANOS_PER_MILLI;
        minOffset = Math.min(minOffset, offset);
        return storeMillis * NANOS_PER_MILLI + Math.min(minOffset, previousMinOffset);
    }
}
