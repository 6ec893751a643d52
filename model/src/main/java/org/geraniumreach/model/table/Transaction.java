package org.geraniumreach.model.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A set of conditions and writes that the table service applies as one, or not at all.
 *
 * <p>Invariant: the lists are never changed after construction. Immutable and safe for use by several threads.
 *
 * @param conditions what must hold for the writes to take effect
 * @param writes what is written
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    /** The version that a condition gives for a row that must not exist. */
    public static final long ABSENT = 0;

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * A row's version that must hold.
     *
     * @param key the row
     * @param version the version it must have, or {@link #ABSENT}
     */
    public record Condition(RowKey key, long version) {

        public Condition {
            Objects.requireNonNull(key, "key");
            if (version < ABSENT) {
                throw new IllegalArgumentException("negative row version: " + version);
            }
        }
    }

    /**
     * A row to write or delete.
     *
     * @param key the row
     * @param value its new content, JSON text, or empty to delete it
     */
    public record Write(RowKey key, Optional<String> value) {

        public Write {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * Obtains a transaction without conditions and writes.
     *
     * @return the transaction, not null
     */
    public static Transaction empty() {
        return new Transaction(List.of(), List.of());
    }

    /**
     * Gets a copy that also requires a row's version.
     *
     * @param key the row, not null
     * @param version the version, or {@link #ABSENT}
     * @return the copy, not null
     */
    public Transaction withCondition(RowKey key, long version) {
        List<Condition> more = new ArrayList<>(conditions);
        more.add(new Condition(key, version));
        return new Transaction(more, writes);
    }

    /**
     * Gets a copy that also writes a row.
     *
     * @param key the row, not null
     * @param value its content, JSON text, not null
     * @return the copy, not null
     */
    public Transaction withWrite(RowKey key, String value) {
        return withWrite(new Write(key, Optional.of(value)));
    }

    /**
     * Gets a copy that also deletes a row.
     *
     * @param key the row, not null
     * @return the copy, not null
     */
    public Transaction withDelete(RowKey key) {
        return withWrite(new Write(key, Optional.empty()));
    }

    private Transaction withWrite(Write write) {
        List<Write> more = new ArrayList<>(writes);
        more.add(write);
        return new Transaction(conditions, more);
    }
}
