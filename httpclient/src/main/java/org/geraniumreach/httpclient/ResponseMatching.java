package org.geraniumreach.httpclient;

/** How a response is matched to its call, for servers that may send a surplus response where the next one is expected. */
public enum ResponseMatching {
    /** The listener rejects responses to other calls. */
    BY_LISTENER,
    /** The server sends exactly one response to each call, so that any response on the connection is the call's. */
    BY_ORDER,
    /**
     * Nothing in a response tells to which call it belongs, although the server may send surplus ones: a call uses only a new
     * connection, or one whose last call was matched by its listener, which shows a surplus response of that call as such.
     */
    NONE
}
