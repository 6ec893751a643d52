package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.ports.PlatformException;

/**
 * The time for which the target has asked to be left alone.
 *
 * <p>Invariant: a rest is never shortened. Safe for use by several threads.
 */
final class TargetRest {

    private final MonotonicClock clock;
    private final AtomicLong restUntil;

    TargetRest(MonotonicClock clock) {
        this.clock = clock;
        this.restUntil = new AtomicLong(clock.nanos());
    }

    /** Starts a rest if the failed call has asked for one. */
    void onFailed(PlatformException failure) {
        failure.retryAfter().ifPresent(delay -> restUntil.accumulateAndGet(clock.nanos() + delay.toNanos(), Math::max));
    }

    /** Gets the refusal of an attempt during a rest, empty if the target may be called. */
    Optional<ServingException> refusal() {
        long remaining = restUntil.get() - clock.nanos();
        if (remaining <= 0) {
            return Optional.empty();
        }
        return Optional.of(ServingException.notRun(ResultCode.OVERLOADED, "the target has asked for rest")
                .withRetryAfter(Duration.ofNanos(remaining)));
    }
}
