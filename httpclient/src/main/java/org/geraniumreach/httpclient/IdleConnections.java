package org.geraniumreach.httpclient;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * The idle connections to one address, in the order in which they became idle.
 *
 * <p>Invariant: the newest connection that is safe for a call is reused first, so that those that are not needed stay idle and are closed. Confined to the event loop.
 */
final class IdleConnections {

    private final Deque<HttpConnection> connections = new ArrayDeque<>();
    private IntSupplier maximum = () -> 0;

    /** Adds a connection, and replaces the supplier of the number of connections to keep. */
    void add(HttpConnection connection, IntSupplier newMaximum) {
        connections.addLast(connection);
        maximum = newMaximum;
    }

    void remove(HttpConnection connection) {
        connections.remove(connection);
    }

    /** Takes the newest of the connections that are suited for a call, if that is usable. */
    Optional<HttpConnection> takeUsable(long nowNanos, Duration maxIdleTime, Predicate<HttpConnection> suited) {
        Iterator<HttpConnection> newestFirst = connections.descendingIterator();
        while (newestFirst.hasNext()) {
            HttpConnection connection = newestFirst.next();
            if (suited.test(connection)) {
                if (!connection.isUsable(nowNanos, maxIdleTime)) {
                    return Optional.empty();
                }
                newestFirst.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** Closes the oldest connections beyond the maximum, and returns their number. */
    int closeExcess() {
        int kept = maximum.getAsInt();
        int closed = 0;
        for (; connections.size() > kept; closed++) {
            connections.pollFirst().close();
        }
        return closed;
    }

    void closeUnusable(long nowNanos, Duration maxIdleTime) {
        for (HttpConnection connection : connections.stream().toList()) {
            if (!connection.isUsable(nowNanos, maxIdleTime)) {
                connection.close();
            }
        }
    }

    void closeAll() {
        connections.forEach(HttpConnection::close);
    }

    int size() {
        return connections.size();
    }
}
