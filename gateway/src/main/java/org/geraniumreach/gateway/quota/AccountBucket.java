package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * The units of one account that may be admitted here, which flow in at this entry's part of the rate.
 *
 * <p>Intended for accounts that ask for many times their rate. As long as the debt allows it, each request is admitted from
 * the same level, whatever its size: if large ones needed a fuller bucket, small ones would take all that flows in, and the account's
 * large requests would never run.
 *
 * <p>Invariant: what is admitted in a window is at most the part of rate and burst for it, the debt, and one request more, since a
 * request above the burst's part is admitted from a full bucket: at a small part it could run nowhere otherwise. Confined to
 * the event loop.
 */
final class AccountBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    /** A bucket begins half full: with one that is full, a process that is killed again and again would admit a burst each time. */
    private static final double INITIAL_FILL_RATIO = 0.5;

    /** Steady clocks drift, and requests arrive at their targets a little later than they were admitted. */
    private static final double RATE_SAFETY_FACTOR = 0.99;

    private double level;
    private double capacity;
    private double debt;
    private double unitsPerSecond;
    private long updatedAt;
    private boolean initialized;

    AccountBucket(long now) {
        this.updatedAt = now;
    }

    void resize(double newPerSecond, double newCapacity, double newDebt, long now) {
        advance(now);
        if (!initialized && newCapacity > 0) {
            initialized = true;
            level = newCapacity * INITIAL_FILL_RATIO;
        }
        unitsPerSecond = newPerSecond * RATE_SAFETY_FACTOR;
        capacity = newCapacity;
        debt = newDebt;
        level = Math.min(level, capacity);
    }

    private void advance(long now) {
        if (now > updatedAt) {
            level = Math.min(capacity, level + unitsPerSecond * ((now - updatedAt) / NANOS_PER_SECOND));
            updatedAt = now;
        }
    }

    /**
     * Takes units, which may flow in only later; the request must wait for them.
     *
     * <p>Requests that wait are so served in their order, and none is passed by a smaller one for ever.
     */
    Reservation reserve(double units, long now, Duration longestWait) {
        advance(now);
        if (capacity <= 0 || unitsPerSecond <= 0) {
            return new Reservation(false, Optional.empty());
        }
        double needed = Math.max(0, Math.min(units, capacity) - debt);
        double missing = needed - level;
        Duration delay = Duration.ofNanos((long) Math.ceil(Math.max(0, missing) / unitsPerSecond * NANOS_PER_SECOND));
        boolean taken = delay.compareTo(longestWait) <= 0;
        if (taken) {
            level -= units;
        }
        return new Reservation(taken, Optional.of(delay));
    }

    /** Whether units were taken, and after what time they are there, empty if they never are. */
    record Reservation(boolean granted, Optional<Duration> delay) {}
}
