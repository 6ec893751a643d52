package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Objects;

/**
 * What a request is told when it asks for its adapter.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param state whether the adapter is there
 * @param delay how long it is expected to take, or when to come back after a refusal
 */
public record Answer(State state, Duration delay) {

    public Answer {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(delay, "delay");
    }

    /** Whether the adapter is there. */
    public enum State {
        /** The adapter is resident. */
        READY,
        /** The adapter is loading or will be. */
        WAITING,
        /** The adapter's load failed a moment ago; the request is not taken in. */
        REFUSED
    }
}
