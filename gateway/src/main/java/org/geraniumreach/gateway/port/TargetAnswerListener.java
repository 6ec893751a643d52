package org.geraniumreach.gateway.port;

import org.geraniumreach.model.ConnectionUse;

/**
 * Receives a target's answer to one request.
 *
 * <p>Contract: {@link #onSending} once a connection is open, possibly from within the call that sends the request; then either
 * {@link #onNotExecuted} or {@link #onFailed} alone; or a head, any number of parts, then {@link #onEnd} or {@link #onFailed}.
 */
public interface TargetAnswerListener {

    /**
     * Called just before the request is written to an open connection; before, it cannot have reached the target.
     *
     * @param use the connection, not null
     * @return whether it may be written; if not, there are no further calls
     */
    default boolean onSending(ConnectionUse use) {
        return true;
    }

    /**
     * Called if the target has not run the request and will not run it.
     *
     * @param reason the reason, not null
     * @param load the load reported by the target, not null
     */
    void onNotExecuted(NotExecuted reason, TargetLoad load);

    /**
     * Called when the answer's head has arrived.
     *
     * @param head the head, not null
     * @param load the load reported by the target, not null
     */
    void onHead(TargetAnswerHead head, TargetLoad load);

    /**
     * Called when a part of the body has arrived.
     *
     * @param part the bytes, not null
     */
    void onPart(byte[] part);

    /** Called when the body is complete. */
    void onEnd();

    /**
     * Called if the answer cannot be completed.
     *
     * @param mayHaveRun false if the request cannot have reached the target
     * @param reason what happened, for the log, not null
     */
    void onFailed(boolean mayHaveRun, String reason);

    /** The reason why a target has not run a request. */
    enum NotExecuted {
        /** The target is full, is leaving, or is executing an order that concerns the request. */
        SHED,
        /** The target does not hold the model, adapter or version. */
        NOT_RESIDENT,
        /** The address belongs to another target, or to another incarnation of it. */
        ANOTHER_TARGET,
        /** The target considers the request invalid. */
        INVALID
    }
}
