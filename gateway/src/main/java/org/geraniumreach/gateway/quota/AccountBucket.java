package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * The token bucket of one account at this entry, refilled at this entry's part of the account's rate.
 *
 * <p>Intended for accounts that ask for many times their rate. While the debt limit allows it, requests are admitted at the same
 * level whatever their size: if large ones needed a fuller bucket, small ones would take all refilled units, and the account's
 * large requests would never run.
 *
 * <p>Invariant: the units admitted in a window are at most this entry's part of rate and burst, plus the debt limit, plus one
 * request. A request larger than this entry's part of the burst is admitted from a full bucket; with a small part it could not
 * run anywhere otherwise. Confined to the event loop.
 */
final class AccountBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Buckets start half full: with full ones, a process that is killed repeatedly would admit a burst after each start. */
    private static final double INITIAL_FILL_RATIO = 0.5;

    /** Allows for the drift of steady clocks and for requests that arrive at their targets slightly after their admission. */
    private static final double RATE_SAFETY_FACTOR = 0.99;

    private double level;
    private double capacity;
    private double maxDebt;
    private double unitsPerSecond;
    private long updatedAt;
    private boolean initialized;

    AccountBucket(long now) {
        this.updatedAt = now;
    }

    void resize(double newUnitsPerSecond, double newCapacity, double newMaxDebt, long now) {
        advance(now);
        if (!initialized && newCapacity > 0) {
            initialized = true;
            level = newCapacity * INITIAL_FILL_RATIO;
        }
        unitsPerSecond = newUnitsPerSecond * RATE_SAFETY_FACTOR;
        capacity = newCapacity;
        maxDebt = newMaxDebt;
        level = Math.min(level, capacity);
    }

    private void advance(long now) {
        if (now > updatedAt) {
            level = Math.min(capacity, level + unitsPerSecond * ((now - updatedAt) / NANOS_PER_SECOND));
            updatedAt = now;
        }
    }

    /**
     * Reserves units, possibly before they are refilled; the request must then wait for the returned delay.
     *
     * <p>Requests are thereby served in order of arrival, and small ones cannot starve large ones.
     */
    Reservation reserve(double units, long now, Duration maxWait) {
        advance(now);
        if (capacity <= 0 || unitsPerSecond <= 0) {
            return new Reservation(false, Optional.empty());
        }
        double needed = Math.max(0, Math.min(units, capacity) - maxDebt);
        double missing = needed - level;
        Duration delay = Duration.ofNanos((long) Math.ceil(Math.max(0, missing) / unitsPerSecond * NANOS_PER_SECOND));
        boolean granted = delay.compareTo(maxWait) <= 0;
        if (granted) {
            level -= units;
        }
        return new Reservation(granted, Optional.of(delay));
    }

    /**
     * The result of a reservation.
     *
     * @param granted whether the units were reserved
     * @param delay the time until the units are available, empty if they never will be
     */
    record Reservation(boolean granted, Optional<Duration> delay) {}
}
