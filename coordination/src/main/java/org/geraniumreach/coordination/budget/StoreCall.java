package org.geraniumreach.coordination.budget;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * A call of the table service that a {@link ShareKeeper} wants made; it wants one at a time.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface StoreCall {

    /**
     * Read a row; answered by {@code read} or {@code failed}.
     *
     * @param key the row
     */
    record Read(RowKey key) implements StoreCall {}

    /**
     * Read rows in order; answered by {@code scanned} or {@code failed}.
     *
     * @param table the table
     * @param after the key after which to begin
     * @param limit the greatest number of rows
     */
    record Scan(String table, String after, int limit) implements StoreCall {}

    /**
     * Commit a transaction; answered by {@code committed} or {@code failed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements StoreCall {}
}
