package org.geraniumreach.model.record;

import java.util.Objects;

import org.geraniumreach.model.Names;

/**
 * Identifies a record by its kind and its name.
 *
 * <p>Invariant: the name is a valid name. Immutable and safe for use by several threads.
 *
 * @param kind the kind of the record
 * @param name the name, unique within the kind
 */
public record RecordKey(RecordKind kind, String name) {

    public RecordKey {
        Objects.requireNonNull(kind, "kind");
        Names.requireName(kind.label(), name);
    }

    /**
     * Creates a key from its parts.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @return the key, not null
     */
    public static RecordKey of(RecordKind kind, String name) {
        return new RecordKey(kind, name);
    }

    @Override
    public String toString() {
        return kind.label() + "/" + name;
    }
}
