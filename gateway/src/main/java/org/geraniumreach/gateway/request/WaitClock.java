package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Adds up how long one request waits, by cause.
 *
 * <p>Invariant: at any moment a request waits for one cause at most, so the waits together never exceed its time. Confined to the
 * event loop.
 */
final class WaitClock {

    private final Map<WaitCause, Long> nanos = new EnumMap<>(WaitCause.class);
    private Optional<WaitCause> current = Optional.empty();
    private long since;

    /** Notes that from now on the request waits for a cause; what it waited for before has ended. */
    void waitsFor(WaitCause cause, long now) {
        goesOn(now);
        current = Optional.of(cause);
        since = now;
    }

    /** Notes that the request waits for nothing. */
    void goesOn(long now) {
        current.ifPresent(cause -> nanos.merge(cause, now - since, Long::sum));
        current = Optional.empty();
    }

    /** Gets the waits so far, with one that still lasts. */
    Waits waits(long now) {
        return new Waits(of(WaitCause.RATE, now), of(WaitCause.ADAPTER, now), of(WaitCause.ROOM, now));
    }

    private Duration of(WaitCause cause, long now) {
        long lasting = current.filter(cause::equals).isPresent() ? now - since : 0;
        return Duration.ofNanos(nanos.getOrDefault(cause, 0L) + lasting);
    }
}
