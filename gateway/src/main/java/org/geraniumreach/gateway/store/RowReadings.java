package org.geraniumreach.gateway.store;

import java.util.OptionalLong;

import org.geraniumreach.gateway.port.StorePort;

/**
 * Tells as of when the rows of the store are known.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface RowReadings {

    /**
     * Gets the time as of which the rows of a table are known; see {@link FeedReader#readAt}.
     *
     * @param table the table, not null
     * @return the time of the monotonic clock, in nanoseconds, empty before the first reading
     */
    OptionalLong readAt(StorePort.Table table);
}
