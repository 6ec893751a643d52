package org.geraniumreach.httpclient;

import org.geraniumreach.model.ConnectionUse;

/**
 * Receives the response to a call.
 *
 * <p>Contract: called on the event loop before the request is written, with the head, any number of parts, then the end or a failure. A failure may come at any
 * time and is the last call. There are no calls after {@link HttpCall#cancel}, nor after a head whose body is discarded.
 */
public interface HttpResponseListener {

    /**
     * Called just before the request is written to an open connection.
     *
     * @param use the connection, not null
     * @return whether it may be written; if not, its connection is closed and there are no further calls
     */
    default boolean onSending(ConnectionUse use) {
        return true;
    }

    /**
     * Called when the status line and headers have been received.
     *
     * @param head the head, not null
     * @return what to do with the rest of the response, not null
     */
    HeadDecision onHead(HttpResponseHead head);

    /**
     * Gets the length of the longest body that this listener takes. A longer one fails the call, and its connection is reset.
     *
     * @return the length in bytes, not negative
     */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /**
     * Called for each part of the body.
     *
     * @param part the bytes, which the listener may keep, not null
     */
    void onPart(byte[] part);

    /** Called when the body is complete according to its framing. */
    void onEnd();

    /**
     * Called when no complete response will be received.
     *
     * @param failure whether the server may have received the request, not null
     * @param reason the reason, for logging, not null
     */
    void onFailed(CallFailure failure, String reason);
}
