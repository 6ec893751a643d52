package org.geraniumreach.httpclient;

/** How a response is matched to its call, for servers that may send a surplus response where the next one is expected. */
public enum ResponseMatching {
    /** The listener rejects responses to other calls. */
    BY_LISTENER,
    /** The server sends exactly one response to each call, so that any response on the connection is the call's. */
    BY_ORDER,
    /**
     * Nothing in a response tells to which call it belongs, although the server may send surplus ones. Once it has sent one, calls
     * use only new connections for a while, or those whose last call was matched by its listener, since a surplus response to that
     * call shows as such.
     */
    NONE
}
