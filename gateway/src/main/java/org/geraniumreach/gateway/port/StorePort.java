package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;

/**
 * The platform's store.
 *
 * <p>Contract: nothing is repeated and nothing times out by itself; callers are told on the event loop, and never after a
 * cancellation. Confined to the event loop.
 */
public interface StorePort {

    /**
     * A row that was written or removed.
     *
     * @param key its key
     * @param row the row, empty if it was removed
     */
    record RowChange(String key, Optional<Row> row) {}

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
     * @param patience how long an answer may be held back while there is nothing new
     */
    record Position(Optional<Long> version, Duration patience) {

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
     * Reads news of the operator.
     *
     * @param position where the reader stands, not null
     * @param reply told of the news, not null
     * @return calls it off, not null
     */
    Cancellable operatorNews(Position position, Consumer<StoreReply<News<OperatorItem>>> reply);

    /**
     * Reads news of the targets.
     *
     * @param position where the reader stands, not null
     * @param reply told of the news, not null
     * @return calls it off, not null
     */
    Cancellable targetNews(Position position, Consumer<StoreReply<News<TargetItem>>> reply);

    /**
     * Reads news of a table of the system's own.
     *
     * @param table the table, not null
     * @param position where the reader stands, not null
     * @param reply told of the news, not null
     * @return calls it off, not null
     */
    Cancellable rowNews(String table, Position position, Consumer<StoreReply<News<RowChange>>> reply);

    /**
     * Commits a transaction.
     *
     * @param transaction the transaction, not null
     * @param reply told of the decision, not null
     * @return calls the waiting off, which leaves open whether it takes effect, not null
     */
    Cancellable commit(Transaction transaction, Consumer<StoreReply<Decision>> reply);
}
