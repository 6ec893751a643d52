package org.geraniumreach.gateway.port;

import java.util.List;

import org.geraniumreach.model.Header;

/**
 * The way of an answer to its caller.
 *
 * <p>Contract: a head, any number of parts, then {@link #end}; or {@link #abort} at any time. Calls after the end, or after
 * the caller has gone, do nothing. Confined to the event loop.
 */
public interface CallerAnswer {

    /**
     * Begins the answer.
     *
     * @param status the status
     * @param headers the headers, none of which concerns framing, not null
     */
    void head(int status, List<Header> headers);

    /**
     * Sends a part of the body.
     *
     * @param part the bytes, not changed any more, not null
     */
    void part(byte[] part);

    /** Ends the answer as complete. */
    void end();

    /** Closes the connection, so that what was sent cannot be taken for a complete answer. */
    void abort();
}
