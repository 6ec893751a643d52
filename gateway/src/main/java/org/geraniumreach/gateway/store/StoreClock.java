package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * Converts moments of the store's steady clock to this process's.
 *
 * <p>A reading arrives after it was made, so the least difference of the two clocks seen lately is the nearest to the true one. It is
 * forgotten after a while, as clocks drift apart. Invariant: a converted moment is never after the arrival of what carried
 * it. Confined to the event loop.
 */
public final class StoreClock {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration OFFSET_WINDOW = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private long minOffset = Long.MAX_VALUE;
    private long previousMinOffset = Long.MAX_VALUE;
    private long windowStart;

    /**
     * Makes a conversion that knows nothing yet.
     *
     * @param clock this process's steady clock, not null
     */
    public StoreClock(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.windowStart = clock.nanos();
    }

    /**
     * Converts the moment of a reading that has just arrived.
     *
     * @param storeMillis the store's clock at the reading
     * @return the moment by this process's clock, in nanoseconds, now at the latest
     */
    public long toLocalNanos(long storeMillis) {
        long now = clock.nanos();
        if (now - windowStart > OFFSET_WINDOW.toNanos()) {
            previousMinOffset = minOffset;
            minOffset = Long.MAX_VALUE;
            windowStart = now;
        }
        long difference = now - storeMillis * NANOS_PER_MILLI;
        minOffset = Math.min(minOffset, difference);
        return storeMillis * NANOS_PER_MILLI + Math.min(minOffset, previousMinOffset);
    }
}
