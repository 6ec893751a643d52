package org.geraniumreach.model.table;

import java.util.Objects;

/**
 * The place of a row: a table and a key in it.
 *
 * <p>Invariant: neither part is empty. Immutable and safe for use by several threads.
 *
 * @param table the table's name
 * @param key the row's key, ordered as text within its table
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
     * Obtains a key from its parts.
     *
     * @param table the table, not null
     * @param key the key, not null
     * @return the row key, not null
     */
    public static RowKey of(String table, String key) {
        return new RowKey(table, key);
    }
}
