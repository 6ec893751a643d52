package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Accumulates the time that one request spends waiting, by cause.
 *
 * <p>Invariant: a request waits for at most one cause at a time, so the sum of the waits never exceeds its total time.
 * Confined to the event loop.
 */
final class WaitClock {

    private final Map<WaitCause, Long> nanos = new EnumMap<>(WaitCause.class);
    private Optional<WaitCause> currentCause = Optional.empty();
    private long currentStartedAt;

    /** Starts a wait for a cause and ends the current wait, if any. */
    void startWait(WaitCause cause, long now) {
        stopWait(now);
        currentCause = Optional.of(cause);
        currentStartedAt = now;
    }

    /** Ends the current wait, if any. */
    void stopWait(long now) {
        currentCause.ifPresent(cause -> nanos.merge(cause, now - currentStartedAt, Long::sum));
        currentCause = Optional.empty();
    }

    /** Gets the accumulated waits, including the current one. */
    Waits snapshot(long now) {
        return new Waits(
                total(WaitCause.RATE, now),
                total(WaitCause.READING, now),
                total(WaitCause.ADAPTER, now),
                total(WaitCause.SUSPICION, now),
                total(WaitCause.PREFILL_CAPACITY, now));
    }

    private Duration total(WaitCause cause, long now) {
        long ongoing = currentCause.filter(cause::equals).isPresent() ? now - currentStartedAt : 0;
        return Duration.ofNanos(nanos.getOrDefault(cause, 0L) + ongoing);
    }
}
