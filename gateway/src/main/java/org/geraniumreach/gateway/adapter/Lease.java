package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.geraniumreach.gateway.clock.ClockOffset;
import org.geraniumreach.gateway.clock.WallClock;
import org.geraniumreach.model.MonotonicClock;

/**
 * This entry's lease, which limits how long it may act as an owner after a renewal.
 *
 * <p>Invariants: the lease runs from the moment before the acknowledged renewal was sent. The monotonic clock of a frozen process
 * may stop while time passes elsewhere, so the lease is also invalid once the monotonic clock and the time of day have diverged
 * since then. A step of the time of day alone makes it invalid only until the next renewal. A lease that is valid again after a lapse
 * does not show that this entry still owns what it owned before; see {@link LeaseTerm}. Confined to the event loop.
 */
public final class Lease {

    /** Lease time after a renewal; longer than most outages of the store, so that loads continue during them. */
    public static final Duration DURATION = Duration.ofSeconds(8);

    /** Minimum time between the orders of two successive owners of a target. */
    public static final Duration HANDOVER_GAP = Duration.ofMillis(3_300);

    private final MonotonicClock clock;
    private final ClockOffset clockOffset;
    private final List<LeaseTerm> terms = new ArrayList<>();
    private boolean renewed;
    private boolean released;
    private long renewedAt;
    private long offsetMillis;

    /**
     * The time at which a renewal was sent.
     *
     * @param nanos the monotonic clock, in nanoseconds
     * @param offsetMillis the time of day minus the monotonic clock, in milliseconds
     */
    public record RenewalStart(long nanos, long offsetMillis) {}

    /**
     * Creates a lease that is invalid until its first renewal.
     *
     * @param clock the monotonic clock, not null
     * @param wallClock the time of day, not null
     */
    public Lease(MonotonicClock clock, WallClock wallClock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.clockOffset = new ClockOffset(clock, wallClock);
    }

    /**
     * Returns the current time for a renewal that is about to be sent.
     *
     * @return the time, to be passed to {@link #renewed} when the renewal is acknowledged, not null
     */
    public RenewalStart startRenewal() {
        return new RenewalStart(clock.nanos(), clockOffset.millis());
    }

    /**
     * Starts to track the terms in which this lease is renewed without a lapse.
     *
     * @param unbroken whether the lease has not lapsed at the current time, not null
     * @return the term, not null
     */
    public LeaseTerm trackTerm(BooleanSupplier unbroken) {
        LeaseTerm term = new LeaseTerm(Objects.requireNonNull(unbroken, "unbroken"));
        terms.add(term);
        return term;
    }

    /**
     * Renews the lease after a renewal has been acknowledged.
     *
     * @param start the time before the renewal was sent, not null
     * @param version the store's version of the renewal
     */
    public void onRenewed(RenewalStart start, long version) {
        terms.forEach(term -> term.onRenewing(version));
        renewed = true;
        renewedAt = start.nanos();
        offsetMillis = start.offsetMillis();
    }

    /** Ends the lease at once, keeping the time of its last renewal. */
    public void release() {
        released = true;
    }

    /**
     * Returns whether the lease is valid at the current time.
     *
     * @return true if it is
     */
    public boolean isValid() {
        return renewed
                && !released
                && clock.nanos() - renewedAt < DURATION.toNanos()
                && !ClockOffset.haveDiverged(offsetMillis, clockOffset.millis());
    }

    /**
     * Returns whether the last renewal was sent within a time, even if the lease has expired or been released since.
     *
     * <p>Intended for limits far above any freeze of the process or step of a clock. The longer of the times that the two clocks
     * show is used: the monotonic clock may miss a freeze, and the time of day may be set back. If it is set forward, the limit is
     * reached earlier by as much.
     *
     * @param limit the time, not null
     * @return true if it is
     */
    public boolean wasRenewedWithin(Duration limit) {
        long ahead = Math.max(0, clockOffset.millis() - offsetMillis);
        return renewed && clock.nanos() - renewedAt + Duration.ofMillis(ahead).toNanos() < limit.toNanos();
    }
}
