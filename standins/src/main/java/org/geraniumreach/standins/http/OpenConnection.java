package org.geraniumreach.standins.http;

import org.glassfish.grizzly.Connection;

/**
 * A caller's connection, which can be made to go silent.
 *
 * <p>Invariant: once silent, nothing is sent on it any more and it stays open; this is how an end sees a connection that
 * something in between has lost track of. Safe for use by several threads.
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
