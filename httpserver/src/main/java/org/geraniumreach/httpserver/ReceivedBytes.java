package org.geraniumreach.httpserver;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.model.MonotonicClock;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;

/**
 * What has been received on one connection, and why it is closed.
 *
 * <p>Invariants: the first cause that is set is kept. Bytes of a further request that arrive together with the end of the request before count as part
 * of that one. A request is never taken for younger than it is. Safe for use by several threads.
 */
final class ReceivedBytes {

    /** A new connection is selected at the latest so many selections after it was accepted. */
    private static final int SELECTIONS_UNTIL_WATCHED = 2;

    private final MonotonicClock clock;
    private final long acceptedIn;
    private long arrivedAt;
    private long total;
    private long lastAt;
    private boolean receiving;
    private boolean ahead;
    private long aheadSince;
    private boolean refused;
    private long refusedAt;
    private Optional<CloseCause> cause = Optional.empty();

    /**
     * Creates an instance for a connection on which nothing has been received.
     *
     * @param clock the clock, not null
     * @param readySince the earliest time at which the connection can have been opened
     * @param selection the number of the selection in which it is accepted
     */
    ReceivedBytes(MonotonicClock clock, long readySince, long selection) {
        this.clock = clock;
        this.lastAt = clock.nanos();
        this.arrivedAt = readySince;
        this.acceptedIn = selection;
    }

    /**
     * Records received bytes.
     *
     * @param count the number of bytes
     * @param readySince the earliest time at which they can have arrived on a connection that was watched
     * @param selection the number of the selection in which they are read
     */
    synchronized void onBytes(int count, long readySince, long selection) {
        boolean arrivedUnwatched = total == 0 && selection - acceptedIn <= SELECTIONS_UNTIL_WATCHED;
        if (!receiving && !arrivedUnwatched) {
            arrivedAt = readySince;
        }
        total += count;
        lastAt = clock.nanos();
        receiving = !refused;
    }

    /**
     * Records bytes that were received while a request is being answered; they belong to the requests behind it.
     *
     * @param count the number of bytes
     * @param readySince the earliest time at which they can have arrived
     */
    synchronized void onBytesAhead(int count, long readySince) {
        if (!ahead) {
            ahead = true;
            aheadSince = readySince;
        }
        total += count;
        lastAt = clock.nanos();
    }

    /** Records that the bytes that were received ahead are being decoded. */
    synchronized void onReleased() {
        if (!receiving) {
            arrivedAt = aheadSince;
        }
        ahead = false;
        receiving = !refused;
    }

    /** Gets the time at which bytes were received last, in nanoseconds of the clock. */
    synchronized long lastAt() {
        return lastAt;
    }

    /** Gets the earliest time at which the request that was received last can have begun to arrive, in nanoseconds of the clock. */
    synchronized long arrivedAt() {
        return arrivedAt;
    }

    synchronized void onRequestRead() {
        receiving = false;
    }

    synchronized void onRequestRefused() {
        receiving = false;
        if (!refused) {
            refused = true;
            refusedAt = clock.nanos();
        }
    }

    /** Queries whether a request was refused longer ago than the given time. */
    synchronized boolean isRefusedFor(Duration time) {
        return refused && clock.nanos() - refusedAt > time.toNanos();
    }

    synchronized void setCause(CloseCause newCause) {
        cause = cause.or(() -> Optional.of(newCause));
    }

    /** Queries whether a request is being received whose last byte came within the given time. */
    synchronized boolean isReceivingWithin(Duration time) {
        return isReceiving() && clock.nanos() - lastAt < time.toNanos();
    }

    synchronized ConnectionEnd end(Connection<?> connection, CloseType type) {
        CloseCause known = cause.orElse(type == CloseType.REMOTELY ? CloseCause.CALLER : CloseCause.LIBRARY);
        return new ConnectionEnd(connection, known, isReceiving(), total, Duration.ofNanos(clock.nanos() - lastAt));
    }

    private boolean isReceiving() {
        return receiving || ahead && !refused;
    }
}
