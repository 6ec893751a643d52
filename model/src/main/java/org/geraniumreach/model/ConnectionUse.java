package org.geraniumreach.model;

/**
 * The connection that a call is written to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connection the number of the connection, which no other connection of this process's pool has, from 1
 * @param earlierCalls the number of calls that the connection has carried before, not negative
 */
public record ConnectionUse(long connection, int earlierCalls) {

    public ConnectionUse {
        if (connection < 1 || earlierCalls < 0) {
            throw new IllegalArgumentException("connection " + connection + ", earlier calls " + earlierCalls);
        }
    }
}
