package org.geraniumreach.ports;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The platform's transactional table service.
 *
 * <p>Contract: calls block for at most their timeout; implementations are safe for use by several threads. Every read
 * that starts after a commit sees it.
 */
public interface TableService {

    /**
     * Reads a row.
     *
     * @param key the row's key, not null
     * @return the row, or empty if it does not exist
     * @throws PlatformException if the call failed or got no answer
     */
    Optional<Row> read(RowKey key) throws PlatformException;

    /**
     * Reads rows in the order of their keys.
     *
     * @param table the table, not null
     * @param prefix the prefix of the keys, may be empty, not null
     * @param after the exclusive lower bound of the keys, empty to start at the first, not null
     * @param limit the maximum number of rows, at least 1
     * @return the rows, fewer than the limit only if there are no more
     * @throws PlatformException if the call failed or got no answer
     */
    List<Row> scan(String table, String prefix, String after, int limit) throws PlatformException;

    /**
     * Applies a transaction atomically.
     *
     * @param transaction the transaction, not null
     * @return true if it was applied, false if a condition did not hold
     * @throws PlatformException if the call failed or got no answer; its effect tells whether the transaction may have
     *     been applied
     */
    boolean commit(Transaction transaction) throws PlatformException;
}
