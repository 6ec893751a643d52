package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;

/**
 * How long a request was kept from being sent, by cause.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rate for units of its client account's rate
 * @param adapter for the load of its adapter
 * @param room for room to read its prompt at a target that holds its adapter
 */
public record Waits(Duration rate, Duration adapter, Duration room) {

    public Waits {
        Objects.requireNonNull(rate, "rate");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(room, "room");
    }
}
