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

    private static final double NANOS = 1e9;

    /** A bucket begins half full: with one that is full, a process that is killed again and again would admit a burst each time. */
    private static final double FIRST_FILL = 0.5;

    /** Steady clocks drift, and requests arrive at their targets a little later than they were admitted. */
    private static final double CAUTION = 0.99;

    private double level;
    private double capacity;
    private double debt;
    private double perSecond;
    private long updatedAt;
    private boolean begun;

    AccountBucket(long now) {
        this.updatedAt = now;
    }

    void resize(double newPerSecond, double newCapacity, double newDebt, long now) {
        advance(now);
        if (!begun && newCapacity > 0) {
            begun = true;
            level = newCapacity * FIRST_FILL;
        }
        perSecond = newPerSecond * CAUTION;
        capacity = newCapacity;
        debt = newDebt;
        level = Math.min(level, capacity);
    }

    private void advance(long now) {
        if (now > updatedAt) {
            level = Math.min(capacity, level + perSecond * ((now - updatedAt) / NANOS));
            updatedAt = now;
        }
    }

    /**
     * Takes units, which may flow in only later; the request must wait for them.
     *
     * <p>Requests that wait are so served in their order, and none is passed by a smaller one for ever.
     */
    Taking take(double units, long now, Duration longestWait) {
        advance(now);
        if (capacity <= 0 || perSecond <= 0) {
            return new Taking(false, Optional.empty());
        }
        double needed = Math.max(0, Math.min(units, capacity) - debt);
        double missing = needed - level;
        Duration delay = Duration.ofNanos((long) Math.ceil(Math.max(0, missing) / perSecond * NANOS));
        boolean taken = delay.compareTo(longestWait) <= 0;
        if (taken) {
            level -= units;
        }
        return new Taking(taken, Optional.of(delay));
    }

    /** Whether units were taken, and after what time they are there, empty if they never are. */
    record Taking(boolean taken, Optional<Duration> delay) {}
}
