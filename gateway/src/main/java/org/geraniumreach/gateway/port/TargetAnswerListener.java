package org.geraniumreach.gateway.port;

/**
 * Is told of a target's answer.
 *
 * <p>Contract: {@link #notExecuted} or {@link #failed} alone; or a head, parts, and {@link #end} or {@link #failed}.
 */
public interface TargetAnswerListener {

    /**
     * Tells that the target has not run the request and will not.
     *
     * @param why why not, not null
     * @param load what it says of its load, not null
     */
    void notExecuted(NotExecuted why, TargetLoad load);

    /**
     * Tells of the answer's head.
     *
     * @param head the head, not null
     * @param load what the target says of its load, not null
     */
    void head(TargetAnswerHead head, TargetLoad load);

    /**
     * Tells of a part of the body.
     *
     * @param part the bytes, not null
     */
    void part(byte[] part);

    /** Tells that the body is complete. */
    void end();

    /**
     * Tells that there will be no whole answer.
     *
     * @param mayHaveRun false if the request cannot have reached the target
     * @param reason what happened, for the log, not null
     */
    void failed(boolean mayHaveRun, String reason);

    /** Why a target has not run a request. */
    enum NotExecuted {
        /** It is full, leaves, or carries an order out that concerns the request. */
        SHED,
        /** It does not hold the model, adapter or version. */
        NOT_RESIDENT,
        /** Another target, or another life of it, has the address. */
        ANOTHER_TARGET,
        /** It takes the request for a wrong one. */
        INVALID
    }
}
