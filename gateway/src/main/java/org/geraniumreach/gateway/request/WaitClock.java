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
    private Optional<WaitCause> currentCause = Optional.empty();
    private long currentStartedAt;

    /** Notes that from now on the request waits for a cause; what it waited for before has ended. */
    void startWait(WaitCause cause, long now) {
        stopWait(now);
        currentCause = Optional.of(cause);
        currentStartedAt = now;
    }

    /** Notes that the request waits for nothing. */
    void stopWait(long now) {
        currentCause.ifPresent(cause -> nanos.merge(cause, now - currentStartedAt, Long::sum));
        currentCause = Optional.empty();
    }

    /** Gets the waits so far, with one that still lasts. */
    Waits snapshot(long now) {
        return new Waits(
                total(WaitCause.RATE, now), total(WaitCause.ADAPTER, now), total(WaitCause.PREFILL_CAPACITY, now));
    }

    private Duration total(WaitCause cause, long now) {
        long lasting = currentCause.filter(cause::equals).isPresent() ? now - currentStartedAt : 0;
        return Duration.ofNanos(nanos.getOrDefault(cause, 0L) + lasting);
    }
}
