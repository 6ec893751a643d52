package org.geraniumreach.gateway.traffic;

/** Whether a request may be sent again after a target may have started to run it. */
public enum RetryPolicy {
    /** The request is idempotent. */
    IDEMPOTENT,
    /** The request must not run more than once. */
    AT_MOST_ONCE,
    /** The answer is a stream of numbered events that can be resumed after the last event received. */
    RESUMABLE_STREAM,
    /** The answer is a stream of numbered events, and the request must not run more than once. */
    AT_MOST_ONCE_STREAM;

    /**
     * Queries whether the answer is an event stream.
     *
     * @return true if it is a stream
     */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == AT_MOST_ONCE_STREAM;
    }

    /**
     * Queries whether a request may be sent again although a target may have started to run it.
     *
     * @return true if it may
     */
    public boolean allowsRerun() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
