package org.geraniumreach.model;

import java.util.Objects;

/**
 * A header line of a message.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name as it was written
 * @param value the value without surrounding white space
 */
public record Header(String name, String value) {

    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }

    /**
     * Queries whether the header has a name, whatever its case.
     *
     * @param other the name, not null
     * @return true if it has
     */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }
}
