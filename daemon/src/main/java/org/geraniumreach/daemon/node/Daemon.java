package org.geraniumreach.daemon.node;

import java.time.Duration;

/**
 * A running process of the system, as its main program sees it.
 *
 * <p>Contract: {@link #drain} begins and returns at once; safe for use by several threads.
 */
public interface Daemon extends AutoCloseable {

    /** Takes no new work from now on, and tells its peers so. */
    void drain();

    /**
     * Counts the work that is still running.
     *
     * @return the number of requests
     */
    int running();

    /**
     * Gets how long running work may take after a drain has begun.
     *
     * @return the limit, not null
     */
    Duration drainLimit();

    /** Ends, and cuts off what is still running. */
    @Override
    void close();
}
