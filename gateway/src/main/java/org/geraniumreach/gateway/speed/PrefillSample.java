package org.geraniumreach.gateway.speed;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.port.Slowdown;

/**
 * The prefill time of a prompt that was sent to a target while its sender had no other prompt pending there.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param promptTokens the tokens of the prompt, above 0
 * @param timeToFirstEvent the time from sending the prompt to the first event of its answer, above zero
 * @param slowdown the slowdown reported in the answer, empty if it reports none
 */
public record PrefillSample(long promptTokens, Duration timeToFirstEvent, Optional<Slowdown> slowdown) {

    private static final double NANOS_PER_MILLI = 1e6;

    public PrefillSample {
        Objects.requireNonNull(slowdown, "slowdown");
        if (promptTokens <= 0 || timeToFirstEvent.isNegative() || timeToFirstEvent.isZero()) {
            throw new IllegalArgumentException("no prefill: " + promptTokens + " tokens in " + timeToFirstEvent);
        }
    }

    /** Gets the milliseconds that the first event would have taken at the target's usual speed. */
    double usualMillis() {
        double factor = Math.max(
                SlowdownEstimate.MINIMUM, slowdown.orElse(Slowdown.NONE).factor());
        return timeToFirstEvent.toNanos() / NANOS_PER_MILLI / factor;
    }
}
