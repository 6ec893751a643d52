package org.geraniumreach.coordination.budget;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * A call to the table service requested by a {@link ShareManager}, which has at most one call pending.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface StoreCall {

    /**
     * Reads a row; answered by {@link ShareManager#onRowRead} or {@link ShareManager#onCallFailed}.
     *
     * @param key the key of the row
     */
    record Read(RowKey key) implements StoreCall {}

    /**
     * Reads rows in the order of their keys; answered by {@link ShareManager#onScanned} or {@link ShareManager#onCallFailed}.
     *
     * @param table the table
     * @param after the key after which to start
     * @param limit the maximum number of rows
     */
    record Scan(String table, String after, int limit) implements StoreCall {}

    /**
     * Commits a transaction; answered by {@link ShareManager#onCommitted} or {@link ShareManager#onCallFailed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements StoreCall {}
}
