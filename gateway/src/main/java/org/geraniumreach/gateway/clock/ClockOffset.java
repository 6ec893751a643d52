package org.geraniumreach.gateway.clock;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * The time of day minus the monotonic clock, which changes when the process was suspended or the time of day was stepped.
 *
 * <p>The monotonic clock of a suspended process may stop while time passes elsewhere. Immutable, and as safe for use by several threads as its
 * clocks.
 */
public final class ClockOffset {

    /**
     * Smallest change that counts: half of the time after a process resumes within which its orders are still tolerated, and more than what the
     * clocks differ by between two readings of them.
     */
    static final Duration MINIMUM_CHANGE = Duration.ofMillis(150);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MonotonicClock clock;
    private final WallClock wallClock;

    /**
     * Creates the offset of two clocks.
     *
     * @param clock the monotonic clock, not null
     * @param wallClock the time of day, not null
     */
    public ClockOffset(MonotonicClock clock, WallClock wallClock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /**
     * Returns the current offset.
     *
     * @return the offset in milliseconds, of any sign
     */
    public long millis() {
        return wallClock.millis() - clock.nanos() / NANOS_PER_MILLI;
    }

    /**
     * Queries whether the clocks diverged between two offsets.
     *
     * @param earlierMillis the earlier offset, in milliseconds
     * @param laterMillis the later offset, in milliseconds
     * @return true if they differ by at least {@link #MINIMUM_CHANGE}
     */
    public static boolean haveDiverged(long earlierMillis, long laterMillis) {
        return Math.abs(laterMillis - earlierMillis) >= MINIMUM_CHANGE.toMillis();
    }
}
