package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The bounds of an {@link AdmissionQueue}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the number of requests that the target runs concurrently, unlimited if empty
 * @param memoryTokens the number of tokens that fit into the target's KV cache, unlimited if empty
 * @param admittedLifetime the time after which an admitted request is forgotten if its end is not reported, above zero
 */
public record AdmissionSettings(OptionalInt slots, OptionalLong memoryTokens, Duration admittedLifetime) {

    public AdmissionSettings {
        Objects.requireNonNull(slots, "slots");
        Objects.requireNonNull(memoryTokens, "memoryTokens");
        Objects.requireNonNull(admittedLifetime, "admittedLifetime");
        if (slots.isPresent() && slots.getAsInt() < 1) {
            throw new IllegalArgumentException("slots below 1: " + slots.getAsInt());
        }
        if (memoryTokens.isPresent() && memoryTokens.getAsLong() < 1) {
            throw new IllegalArgumentException("memoryTokens below 1: " + memoryTokens.getAsLong());
        }
        if (admittedLifetime.isNegative() || admittedLifetime.isZero()) {
            throw new IllegalArgumentException("admittedLifetime not above zero: " + admittedLifetime);
        }
    }
}
