package org.geraniumreach.ports;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The platform's transactional table service.
 *
 * <p>Contract: calls block for at most their timeout; implementations are safe for use by several threads. A committed
 * transaction is seen by every later read.
 */
public interface TableService {

    /**
     * Reads a row.
     *
     * @param key the row, not null
     * @return the row, or empty if it does not exist
     * @throws PlatformException if there was no answer
     */
    Optional<Row> read(RowKey key) throws PlatformException;

    /**
     * Reads rows in the order of their keys.
     *
     * @param table the table, not null
     * @param after the key after which to begin, empty for the first, not null
     * @param prefix what the keys start with, may be empty, not null
     * @param limit the greatest number of rows, at least 1
     * @return the rows, fewer than the limit if there are no more
     * @throws PlatformException if there was no answer
     */
    List<Row> scan(String table, String prefix, String after, int limit) throws PlatformException;

    /**
     * Applies a transaction as one, or not at all.
     *
     * @param transaction the transaction, not null
     * @return true if it took effect, false if a condition did not hold
     * @throws PlatformException if there was no answer, with whether it may have taken effect
     */
    boolean commit(Transaction transaction) throws PlatformException;
}
