package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.MonotonicClock;

/**
 * This entry's own lease: for how long it may act on what it holds.
 *
 * <p>Invariants: it counts from before the acknowledged renewal was sent. A frozen process's steady clock may stand still
 * while others see time pass, so the lease does not hold either once steady clock and time of day have moved apart by more
 * than {@link #MAX_CLOCK_DIVERGENCE} since then; a mere step of the time of day costs no more than the wait for the next renewal. Confined
 * to the event loop.
 */
public final class Lease {

    /** How long a renewal counts; longer than the store is slow or away on most days, so that loads go on meanwhile. */
    public static final Duration DURATION = Duration.ofSeconds(8);

    /** Two entries' orders to one target must be this far apart. */
    public static final Duration HANDOVER_GAP = Duration.ofMillis(3_300);

    /** Half of what a sender has after it woke up before its orders count against it. */
    static final Duration MAX_CLOCK_DIVERGENCE = Duration.ofMillis(150);

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private boolean renewed;
    private boolean released;
    private long renewedAt;
    private long offsetMillis;

    /** The time of day. */
    @FunctionalInterface
    public interface WallClock {

        /**
         * Reads the time of day.
         *
         * @return milliseconds since 1970
         */
        long millis();
    }

    /**
     * When a renewal was sent.
     *
     * @param nanos by the steady clock
     * @param offsetMillis the time of day less the steady clock, in milliseconds
     */
    public record Sending(long nanos, long offsetMillis) {}

    /**
     * Makes a lease that does not hold yet.
     *
     * @param clock the steady clock, not null
     * @param wall the time of day, not null
     */
    public Lease(MonotonicClock clock, WallClock wall) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wall, "wall");
    }

    /**
     * Notes the moment before a renewal is sent.
     *
     * @return to be handed to {@link #renewed}, not null
     */
    public Sending sending() {
        long now = clock.nanos();
        return new Sending(now, offset(now));
    }

    /**
     * Takes the acknowledgement of a renewal.
     *
     * @param sending when it was sent, not null
     */
    public void renewed(Sending sending) {
        renewed = true;
        renewedAt = sending.nanos();
        offsetMillis = sending.offsetMillis();
    }

    /** Ends the lease at once; when it was last renewed is still known. */
    public void release() {
        released = true;
    }

    /**
     * Queries whether the lease holds now.
     *
     * @return true if it does
     */
    public boolean isValid() {
        long now = clock.nanos();
        return renewed
                && !released
                && now - renewedAt < DURATION.toNanos()
                && Math.abs(offset(now) - offsetMillis) < MAX_CLOCK_DIVERGENCE.toMillis();
    }

    /**
     * Queries whether the last renewal is younger than a time, whatever became of the lease since.
     *
     * <p>It is for limits far above any freeze or step of a clock. The longer of the times that both clocks show counts: after a
     * freeze the steady clock shows too little, and a step back of the time of day leaves the steady one. A step ahead costs
     * only its own length of the limit.
     *
     * @param limit the time, not null
     * @return true if it is
     */
    public boolean wasRenewedWithin(Duration limit) {
        long now = clock.nanos();
        long ahead = Math.max(0, offset(now) - offsetMillis);
        return renewed && now - renewedAt + Duration.ofMillis(ahead).toNanos() < limit.toNanos();
    }

    private long offset(long nanos) {
        return wallClock.millis() - nanos / 1_000_000;
    }
}
