package org.geraniumreach.model.table;

import java.util.Objects;

/**
 * A row as it was read.
 *
 * <p>Invariant: the version is at least 1 and rises with each write of the row. Immutable and safe for use by several
 * threads.
 *
 * @param key where the row is
 * @param version the version read
 * @param value the content, JSON text
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
