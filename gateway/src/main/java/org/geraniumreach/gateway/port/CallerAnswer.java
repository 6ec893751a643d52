package org.geraniumreach.gateway.port;

import java.util.List;

import org.geraniumreach.model.Header;

/**
 * Writes the HTTP answer to one caller.
 *
 * <p>Contract: a head, any number of parts, then {@link #end}; or {@link #abort} at any time. Calls after the end, or after the
 * caller has disconnected, have no effect. Confined to the event loop.
 */
public interface CallerAnswer {

    /**
     * Writes the status and the headers.
     *
     * @param status the HTTP status
     * @param headers the headers, without framing headers, not null
     */
    void writeHead(int status, List<Header> headers);

    /**
     * Writes a part of the body.
     *
     * @param part the bytes, which must not be modified afterwards, not null
     */
    void writePart(byte[] part);

    /** Ends the answer; it is then complete. */
    void end();

    /**
     * Queries whether the caller has closed its connection, also if that close is still to be read.
     *
     * @return whether nobody waits for the answer any more
     */
    boolean isCallerGone();

    /** Closes the connection, so that the caller cannot take what was sent for a complete answer. */
    void abort();
}
