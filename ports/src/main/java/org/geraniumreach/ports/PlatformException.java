package org.geraniumreach.ports;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Thrown if a call to the platform or to a target fails or gets no answer.
 *
 * <p>Invariant: the effect is {@link Effect#NONE} only if the call cannot have taken effect, such as after a refused
 * connection or an error answer that says so. Immutable.
 */
public final class PlatformException extends Exception {

    /** Whether a failed call may have taken effect. */
    public enum Effect {
        /** It has not taken effect and will not. */
        NONE,
        /** It may have taken effect, or may still do so. */
        UNKNOWN
    }

    /** The kinds of failure that callers distinguish. */
    public enum Reason {
        /** No connection could be made. */
        UNREACHABLE,
        /** The connection broke or no answer arrived in time. */
        NO_ANSWER,
        /** The answer is malformed. */
        BAD_ANSWER,
        /** The server is rate limiting; the call may succeed later. */
        THROTTLED,
        /** A target has seen a higher fencing token. */
        FENCED,
        /** The adapter is not loaded in the engine. */
        NOT_RESIDENT,
        /** The engine has no free adapter slot. */
        NO_FREE_SLOT,
        /** The object of the call does not exist at the server. */
        NOT_FOUND,
        /** The server reported that the call failed. */
        FAILED
    }

    private final Effect effect;
    private final Reason reason;
    private final transient Optional<Duration> retryAfter;

    /**
     * Creates an exception with the most likely reason for its effect: FAILED for NONE, else NO_ANSWER.
     *
     * @param effect whether the call may have taken effect, not null
     * @param message what was called and what went wrong, not null
     * @param cause the underlying failure, may be null
     */
    public PlatformException(Effect effect, String message, Throwable cause) {
        this(effect, effect == Effect.NONE ? Reason.FAILED : Reason.NO_ANSWER, message, cause);
    }

    /**
     * Creates an exception.
     *
     * @param effect whether the call may have taken effect, not null
     * @param reason what went wrong, not null
     * @param message what was called and what went wrong, not null
     * @param cause the underlying failure, may be null
     */
    public PlatformException(Effect effect, Reason reason, String message, Throwable cause) {
        this(effect, reason, message, cause, Optional.empty());
    }

    private PlatformException(
            Effect effect, Reason reason, String message, Throwable cause, Optional<Duration> retryAfter) {
        super(message, cause);
        this.effect = Objects.requireNonNull(effect, "effect");
        this.reason = Objects.requireNonNull(reason, "reason");
        this.retryAfter = retryAfter;
    }

    /**
     * Creates a copy with the time for which the server wants no calls.
     *
     * @param delay the time, not null
     * @return the copy, not null
     */
    public PlatformException withRetryAfter(Duration delay) {
        return new PlatformException(
                effect, reason, getMessage(), getCause(), Optional.of(Objects.requireNonNull(delay, "delay")));
    }

    public Effect effect() {
        return effect;
    }

    public Reason reason() {
        return reason;
    }

    /**
     * Gets the time for which the server wants no calls.
     *
     * @return the time, or empty if the server has named none
     */
    public Optional<Duration> retryAfter() {
        return retryAfter;
    }
}
