package org.geraniumreach.gateway.store;

import java.util.Objects;

import org.geraniumreach.gateway.port.StorePort;

/**
 * An update that a reader of the store sends to the other entries of its failure domain.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface FeedUpdate {

    /**
     * Gets the table that this update concerns.
     *
     * @return the table, not null
     */
    StorePort.Table table();

    /**
     * The result of a reading.
     *
     * @param table the table that was read
     * @param after the version that the reading continued from
     * @param page the rows changed since that version; no rows if the update carries only the time and version of the reading
     */
    record Changes(StorePort.Table table, long after, StorePort.Page page) implements FeedUpdate {

        public Changes {
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(page, "page");
        }
    }

    /**
     * A reading that the store did not answer or refused.
     *
     * @param table the table that was to be read
     * @param reason the reason, for the log
     */
    record Unreachable(StorePort.Table table, String reason) implements FeedUpdate {

        public Unreachable {
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
