package org.geraniumreach.httpserver;

import java.time.Duration;
import java.util.Objects;

import org.glassfish.grizzly.Connection;

/**
 * The end of a caller's connection.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connection the connection
 * @param cause why it was closed
 * @param receiving whether bytes have been received that belong to no request that was read
 * @param receivedBytes the number of bytes received on the connection
 * @param sinceLastByte the time since the last byte was received, or since the connection was opened
 */
public record ConnectionEnd(
        Connection<?> connection, CloseCause cause, boolean receiving, long receivedBytes, Duration sinceLastByte) {

    public ConnectionEnd {
        Objects.requireNonNull(connection, "connection");
        Objects.requireNonNull(cause, "cause");
        Objects.requireNonNull(sinceLastByte, "sinceLastByte");
    }
}
