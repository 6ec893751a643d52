package org.geraniumreach.httpclient;

import java.time.Duration;
import java.util.Objects;

/**
 * A call that a connection has carried before.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id what names the call in its response, not null
 * @param age the time since its response, not null
 * @param discarded whether its response was discarded from the head on
 */
public record EarlierCall(String id, Duration age, boolean discarded) {

    public EarlierCall {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(age, "age");
    }
}
