package org.geraniumreach.standins.http;

import org.glassfish.grizzly.Connection;

/**
 * A caller's connection, which can be silenced.
 *
 * <p>Invariant: a silenced connection stays open and sends nothing more. To the caller it looks like a connection whose
 * state was lost by a device on the network path. Safe for use by several threads.
 */
final class OpenConnection {

    private final Connection<?> connection;
    private volatile boolean silent;

    OpenConnection(Connection<?> connection) {
        this.connection = connection;
    }

    boolean isSilent() {
        return silent;
    }

    void silence() {
        silent = true;
    }

    void close() {
        connection.closeSilently();
    }
}
