package org.geraniumreach.httpclient;

/**
 * Is told of a call's response.
 *
 * <p>Contract: called on the event loop: the head, any number of parts, then the end or a failure; a failure may come at any
 * time and is the last word. Nothing comes after {@link HttpCall#cancel}.
 */
public interface HttpResponseListener {

    /**
     * Tells of the head.
     *
     * @param head the head, not null
     */
    void onHead(HttpResponseHead head);

    /**
     * Tells of a part of the body.
     *
     * @param part the bytes, which the listener may keep, not null
     */
    void onPart(byte[] part);

    /** Tells that the body is complete by its own framing. */
    void onEnd();

    /**
     * Tells that there will be no complete response.
     *
     * @param failure how far the call had come, not null
     * @param reason what happened, for a log, not null
     */
    void onFailed(CallFailure failure, String reason);
}
