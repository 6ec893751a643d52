package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What an entry knows of a target's limit.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rate the limit, empty if the target names none
 * @param age the time since the target answered so, not negative
 */
public record LimitReport(Optional<RequestRate> rate, Duration age) {

    public LimitReport {
        Objects.requireNonNull(rate, "rate");
        if (age.isNegative()) {
            throw new IllegalArgumentException("age below zero: " + age);
        }
    }
}
