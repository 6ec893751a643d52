package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Objects;

/**
 * The result of a request for an adapter.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param state whether the adapter is available
 * @param delay the expected waiting time, or the time after which to retry if refused
 */
public record AdapterRequestResult(State state, Duration delay) {

    public AdapterRequestResult {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(delay, "delay");
    }

    /** The states of a requested adapter. */
    public enum State {
        /** The adapter is resident. */
        READY,
        /** The adapter is loading or waiting to be loaded. */
        WAITING,
        /** The adapter's load failed recently; the request is not registered. */
        REFUSED
    }
}
