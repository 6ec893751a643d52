package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Reads and writes the platform's store.
 *
 * <p>Contract: calls are neither retried nor timed out. Callbacks run on the event loop, and never after a cancellation.
 * Confined to the event loop.
 */
public interface StorePort {

    /** The tables that can be read. */
    enum Table {
        /** Rows written by the operator. */
        OPERATOR,
        /** Descriptions of targets, written by the targets. */
        TARGETS,
        /** State shared by the entries. */
        FLEET,
        /** The leases of entries. */
        LEASES
    }

    /**
     * A row of the store.
     *
     * @param key the row's key
     * @param version the version at which the row was written or removed
     * @param value the row's value, empty if it was removed
     */
    record StoredRow(String key, long version, Optional<String> value) {}

    /**
     * The result of reading a table.
     *
     * @param rows the rows, in order
     * @param version the version up to which the table was read
     * @param snapshot whether these are all rows, rather than only the changed ones
     * @param storeMillis the store's steady clock at the reading, in milliseconds
     */
    record Page(List<StoredRow> rows, long version, boolean snapshot, long storeMillis) {

        public Page {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A row that was written or removed.
     *
     * @param key the row's key
     * @param row the row, empty if it was removed
     */
    record RowChange(String key, Optional<Row> row) {

        /**
         * Obtains the change that a stored row represents.
         *
         * @param table the name of the row's table, not null
         * @param stored the stored row, not null
         * @return the change, not null
         */
        public static RowChange of(String table, StoredRow stored) {
            RowKey key = RowKey.of(table, stored.key());
            return new RowChange(stored.key(), stored.value().map(value -> new Row(key, stored.version(), value)));
        }
    }

    /**
     * The decoded result of reading a table.
     *
     * @param <T> the type of the items
     * @param items the decoded rows, in order
     * @param version the version from which the next reading continues
     * @param snapshot whether these are all items, rather than only the changed ones
     */
    record TableUpdate<T>(List<T> items, long version, boolean snapshot) {

        public TableUpdate {
            items = List.copyOf(items);
        }
    }

    /** A row written by the operator, decoded. */
    sealed interface OperatorItem {

        /**
         * A new version of the configuration.
         *
         * @param configuration the configuration
         */
        record Configuration(TrafficConfiguration configuration) implements OperatorItem {}

        /**
         * The version of an adapter that is to be served.
         *
         * @param adapter the adapter
         * @param version the version
         */
        record AdapterVersion(AdapterName adapter, long version) implements OperatorItem {}

        /**
         * A failure domain that is evacuated: its targets must not receive requests.
         *
         * @param domain the domain
         */
        record Evacuation(FailureDomain domain) implements OperatorItem {}

        /**
         * A failure domain whose evacuation has ended: its targets may receive requests again.
         *
         * @param domain the domain
         */
        record EvacuationEnded(FailureDomain domain) implements OperatorItem {}

        /**
         * A row that cannot be read.
         *
         * @param key the row's key
         * @param reason what is wrong with it
         */
        record Unreadable(String key, String reason) implements OperatorItem {}
    }

    /** A change of a target's row, decoded. */
    sealed interface TargetItem {

        /**
         * A row that was written by a target.
         *
         * @param description the target's description of itself
         */
        record Present(TargetDescription description) implements TargetItem {}

        /**
         * A target's row that was removed.
         *
         * @param target the target
         */
        record Removed(TargetId target) implements TargetItem {}

        /**
         * A row that cannot be read.
         *
         * @param key the row's key
         * @param reason what is wrong with it
         */
        record Unreadable(String key, String reason) implements TargetItem {}
    }

    /**
     * The store's decision on a transaction.
     *
     * @param committed whether the transaction was committed
     * @param version the version of the written rows if committed, otherwise the store's latest version
     */
    record CommitResult(boolean committed, long version) {}

    /**
     * The position from which to read a table.
     *
     * @param version the version after which to read changes, empty to read the whole table
     * @param longPollWait how long the store may delay the answer while there are no changes
     */
    record Position(Optional<Long> version, Duration longPollWait) {

        /**
         * Obtains the position from which the whole table is read without a long poll.
         *
         * @return the position, not null
         */
        public static Position start() {
            return new Position(Optional.empty(), Duration.ZERO);
        }
    }

    /**
     * Reads a table or its changes.
     *
     * @param table the table, not null
     * @param position the position from which to read, not null
     * @param onProgress run each time a part of the answer has arrived, not null
     * @param onReply receives the result, not null
     * @return cancels the call, not null
     */
    Cancellable read(Table table, Position position, Runnable onProgress, Consumer<StoreReply<Page>> onReply);

    /**
     * Commits a transaction.
     *
     * @param transaction the transaction, not null
     * @param onReply receives the store's decision, not null
     * @return stops waiting for the decision; the transaction may still be committed, not null
     */
    Cancellable commit(Transaction transaction, Consumer<StoreReply<CommitResult>> onReply);
}
