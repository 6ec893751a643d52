package org.geraniumreach.ports;

import java.util.Objects;

/**
 * A call to the platform or to a target that gave no answer, or one that says it failed.
 *
 * <p>Invariant: {@link Effect#NONE} is carried only where the call cannot have taken effect, such as a refused connection
 * or an error answer that says so. Immutable.
 */
public final class PlatformException extends Exception {

    /** Whether a failed call may have taken effect. */
    public enum Effect {
        /** It has not and will not. */
        NONE,
        /** It may have, or may yet. */
        UNKNOWN
    }

    /** What went wrong, as far as a caller may act on it. */
    public enum Reason {
        /** No connection could be made. */
        UNREACHABLE,
        /** The connection broke or stayed silent. */
        NO_ANSWER,
        /** The answer cannot be read. */
        BAD_ANSWER,
        /** The other end is above its rate; later it may take the call. */
        THROTTLED,
        /** A target has seen a newer fence. */
        FENCED,
        /** The engine does not hold the adapter. */
        NOT_RESIDENT,
        /** The engine has no free slot. */
        NO_FREE_SLOT,
        /** The other end does not know what was named. */
        NOT_FOUND,
        /** The other end says that the call failed. */
        FAILED
    }

    private final Effect effect;
    private final Reason reason;

    /**
     * Makes an exception whose reason is the likeliest for its effect.
     *
     * @param effect whether the call may have taken effect, not null
     * @param message what was called and what went wrong, not null
     * @param cause the failure beneath, may be null
     */
    public PlatformException(Effect effect, String message, Throwable cause) {
        this(effect, effect == Effect.NONE ? Reason.FAILED : Reason.NO_ANSWER, message, cause);
    }

    /**
     * Makes an exception.
     *
     * @param effect whether the call may have taken effect, not null
     * @param reason what went wrong, not null
     * @param message what was called and what went wrong, not null
     * @param cause the failure beneath, may be null
     */
    public PlatformException(Effect effect, Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.effect = Objects.requireNonNull(effect, "effect");
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    public Effect effect() {
        return effect;
    }

    public Reason reason() {
        return reason;
    }
}
