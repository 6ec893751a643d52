package org.geraniumreach.model.table;

import java.util.Objects;

/**
 * Identifies a row by its table and its key within the table.
 *
 * <p>Invariant: neither part is empty. Immutable and safe for use by several threads.
 *
 * @param table the name of the table
 * @param key the key of the row; rows of a table are ordered by key as text
 */
public record RowKey(String table, String key) {

    public RowKey {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(key, "key");
        if (table.isEmpty() || key.isEmpty()) {
            throw new IllegalArgumentException("empty table or key: '" + table + "', '" + key + "'");
        }
    }

    /**
     * Creates a row key from its parts.
     *
     * @param table the table, not null
     * @param key the key, not null
     * @return the row key, not null
     */
    public static RowKey of(String table, String key) {
        return new RowKey(table, key);
    }
}
