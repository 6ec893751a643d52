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
 * The platform's store.
 *
 * <p>Contract: nothing is repeated and nothing times out by itself; callers are told on the event loop, and never after a
 * cancellation. Confined to the event loop.
 */
public interface StorePort {

    /** What is read. */
    enum Table {
        /** What the operator writes. */
        OPERATOR,
        /** What targets say of themselves. */
        TARGETS,
        /** What entries share. */
        FLEET,
        /** The leases of entries. */
        LEASES
    }

    /**
     * A row as it is stored.
     *
     * @param key its key
     * @param version the version that wrote or removed it
     * @param value its value, empty if it was removed
     */
    record StoredRow(String key, long version, Optional<String> value) {}

    /**
     * What a reading of a table found.
     *
     * @param rows the rows, in order
     * @param version the version up to which the table was read
     * @param whole whether these are all rows, rather than those that changed
     * @param storeMillis the store's steady clock at the reading
     */
    record Page(List<StoredRow> rows, long version, boolean whole, long storeMillis) {

        public Page {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A row that was written or removed.
     *
     * @param key its key
     * @param row the row, empty if it was removed
     */
    record RowChange(String key, Optional<Row> row) {

        /**
         * Obtains the change that a stored row tells of.
         *
         * @param table the table that holds it, not null
         * @param stored the stored row, not null
         * @return the change, not null
         */
        public static RowChange of(String table, StoredRow stored) {
            RowKey key = RowKey.of(table, stored.key());
            return new RowChange(stored.key(), stored.value().map(value -> new Row(key, stored.version(), value)));
        }
    }

    /**
     * News of a table.
     *
     * @param <T> what the table holds
     * @param items what is new, in order
     * @param version from where to go on
     * @param whole whether this is all that there is, rather than what has changed
     */
    record News<T>(List<T> items, long version, boolean whole) {

        public News {
            items = List.copyOf(items);
        }
    }

    /** News of the operator. */
    sealed interface OperatorItem {

        /**
         * A newer configuration.
         *
         * @param configuration the configuration
         */
        record Configuration(TrafficConfiguration configuration) implements OperatorItem {}

        /**
         * A version of an adapter that is to be served.
         *
         * @param adapter the adapter
         * @param version the version
         */
        record AdapterVersion(AdapterName adapter, long version) implements OperatorItem {}

        /**
         * A failure domain whose targets are to get nothing.
         *
         * @param domain the domain
         */
        record Evacuation(FailureDomain domain) implements OperatorItem {}

        /**
         * A failure domain whose targets may be used again.
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

    /** News of a target. */
    sealed interface TargetItem {

        /**
         * A target's row.
         *
         * @param description what the target says of itself
         */
        record Present(TargetDescription description) implements TargetItem {}

        /**
         * A target's row is gone.
         *
         * @param target the target
         */
        record Gone(TargetId target) implements TargetItem {}

        /**
         * A row that cannot be read.
         *
         * @param key the row's key
         * @param reason what is wrong with it
         */
        record Unreadable(String key, String reason) implements TargetItem {}
    }

    /**
     * What came of a transaction that the store has decided.
     *
     * @param committed whether it took effect
     * @param version the version of the rows written, or the store's newest
     */
    record Decision(boolean committed, long version) {}

    /**
     * Where a reader of news stands.
     *
     * @param version the version to go on from, empty to read all
     * @param longPollWait how long an answer may be held back while there is nothing new
     */
    record Position(Optional<Long> version, Duration longPollWait) {

        /**
         * Obtains the position of a reader that knows nothing.
         *
         * @return the position, not null
         */
        public static Position beginning() {
            return new Position(Optional.empty(), Duration.ZERO);
        }
    }

    /**
     * Reads a table, or what has changed in it.
     *
     * @param table the table, not null
     * @param position where the reader stands, not null
     * @param progressed run each time that a part of the answer has come, not null
     * @param reply told of what was found, not null
     * @return calls it off, not null
     */
    Cancellable read(Table table, Position position, Runnable progressed, Consumer<StoreReply<Page>> reply);

    /**
     * Commits a transaction.
     *
     * @param transaction the transaction, not null
     * @param reply told of the decision, not null
     * @return calls the waiting off, which leaves open whether it takes effect, not null
     */
    Cancellable commit(Transaction transaction, Consumer<StoreReply<Decision>> reply);
}
