package org.geraniumreach.model.table;

import java.util.Objects;

/**
 * A row as read from the table service.
 *
 * <p>Invariant: the version is at least 1 and increases with each write of the row. Immutable and safe for use by
 * several threads.
 *
 * @param key the table and key of the row
 * @param version the version of the row
 * @param value the content as JSON text
 */
public record Row(RowKey key, long version, String value) {

    public Row {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        if (version < 1) {
            throw new IllegalArgumentException("row version below 1: " + version);
        }
    }
}
