package org.geraniumreach.daemon.node;

import java.time.Duration;

/**
 * A running entry or companion, as its main program controls it.
 *
 * <p>Contract: {@link #drain} starts draining and returns immediately; safe for use by several threads.
 */
public interface Daemon extends AutoCloseable {

    /** Stops accepting new work, and announces this to the peers. */
    void drain();

    /**
     * Counts the requests that are still running.
     *
     * @return the number
     */
    int runningRequests();

    /**
     * Gets how long running work may take after a drain has begun.
     *
     * @return the limit, not null
     */
    Duration drainLimit();

    /** Stops the process's services and aborts the requests that are still running. */
    @Override
    void close();
}
