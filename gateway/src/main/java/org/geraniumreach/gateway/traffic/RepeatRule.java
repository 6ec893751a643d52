package org.geraniumreach.gateway.traffic;

/** What may be sent to a target again after a target may have begun it. */
public enum RepeatRule {
    /** The request is idempotent. */
    IDEMPOTENT,
    /** The request may run once only. */
    ONCE,
    /** The answer is a stream of numbered events, which may be resumed after the last one received. */
    RESUMABLE_STREAM,
    /** The answer is a stream of numbered events, and the request may run once only. */
    ONCE_STREAM;

    /**
     * Queries whether the answer is a stream of events.
     *
     * @return true if it is
     */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == ONCE_STREAM;
    }

    /**
     * Queries whether a request may be sent again although a target may have begun it.
     *
     * @return true if it may
     */
    public boolean mayRunAgain() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
