package org.geraniumreach.gateway.store;

import java.util.Objects;

import org.geraniumreach.gateway.port.StorePort;

/**
 * What an entry that reads the store tells the others of its failure domain.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface FeedUpdate {

    /**
     * Gets the table that it is of.
     *
     * @return the table, not null
     */
    StorePort.Table table();

    /**
     * What a reading found.
     *
     * @param table the table that was read
     * @param after the version that the reading went on from
     * @param page the rows that changed since; none if only the reading's moment is told
     */
    record Changes(StorePort.Table table, long after, StorePort.Page page) implements FeedUpdate {

        public Changes {
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(page, "page");
        }
    }

    /**
     * The store did not answer.
     *
     * @param table the table that was to be read
     * @param reason why not, for the log
     */
    record Unreachable(StorePort.Table table, String reason) implements FeedUpdate {

        public Unreachable {
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
