package org.geraniumreach.httpserver;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.model.MonotonicClock;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;

/**
 * What has been received on one connection, and why it is closed.
 *
 * <p>Invariant: the first cause that is set is kept. Bytes of a further request that arrive together with the end of the request before count as part
 * of that one. Safe for use by several threads.
 */
final class ReceivedBytes {

    private final MonotonicClock clock;
    private long total;
    private long lastAt;
    private boolean receiving;
    private boolean refused;
    private long refusedAt;
    private Optional<CloseCause> cause = Optional.empty();

    ReceivedBytes(MonotonicClock clock) {
        this.clock = clock;
        this.lastAt = clock.nanos();
    }

    synchronized void onBytes(int count) {
        total += count;
        lastAt = clock.nanos();
        receiving = !refused;
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
        return receiving && clock.nanos() - lastAt < time.toNanos();
    }

    synchronized ConnectionEnd end(Connection<?> connection, CloseType type) {
        CloseCause known = cause.orElse(type == CloseType.REMOTELY ? CloseCause.CALLER : CloseCause.LIBRARY);
        return new ConnectionEnd(connection, known, receiving, total, Duration.ofNanos(clock.nanos() - lastAt));
    }
}
