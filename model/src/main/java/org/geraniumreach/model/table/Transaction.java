package org.geraniumreach.model.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A set of writes that the table service applies atomically if all conditions hold.
 *
 * <p>Invariant: the lists do not change after construction. Immutable and safe for use by several threads.
 *
 * @param conditions the conditions for the writes to be applied
 * @param writes the rows to write or delete
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    /** The version in a condition that requires that the row does not exist. */
    public static final long ABSENT_VERSION = 0;

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * Requires that a row has a version.
     *
     * @param key the key of the row
     * @param version the required version, or {@link #ABSENT_VERSION}
     */
    public record Condition(RowKey key, long version) {

        public Condition {
            Objects.requireNonNull(key, "key");
            if (version < ABSENT_VERSION) {
                throw new IllegalArgumentException("negative row version: " + version);
            }
        }
    }

    /**
     * Writes or deletes a row.
     *
     * @param key the key of the row
     * @param value the new content as JSON text, or empty to delete the row
     */
    public record Write(RowKey key, Optional<String> value) {

        public Write {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * Returns a transaction without conditions and writes.
     *
     * @return the transaction, not null
     */
    public static Transaction empty() {
        return new Transaction(List.of(), List.of());
    }

    /**
     * Creates a copy with an additional condition.
     *
     * @param key the key of the row, not null
     * @param version the required version, or {@link #ABSENT_VERSION}
     * @return the copy, not null
     */
    public Transaction withCondition(RowKey key, long version) {
        List<Condition> extended = new ArrayList<>(conditions);
        extended.add(new Condition(key, version));
        return new Transaction(extended, writes);
    }

    /**
     * Creates a copy that also writes a row.
     *
     * @param key the key of the row, not null
     * @param value the new content as JSON text, not null
     * @return the copy, not null
     */
    public Transaction withWrite(RowKey key, String value) {
        return withWrite(new Write(key, Optional.of(value)));
    }

    /**
     * Creates a copy that also deletes a row.
     *
     * @param key the key of the row, not null
     * @return the copy, not null
     */
    public Transaction withDelete(RowKey key) {
        return withWrite(new Write(key, Optional.empty()));
    }

    private Transaction withWrite(Write write) {
        List<Write> extended = new ArrayList<>(writes);
        extended.add(write);
        return new Transaction(conditions, extended);
    }
}
