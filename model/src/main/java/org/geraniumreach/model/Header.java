package org.geraniumreach.model;

import java.util.Objects;

/**
 * A header field of a message.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in its original spelling
 * @param value the value without surrounding white space
 */
public record Header(String name, String value) {

    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }

    /**
     * Checks whether the header has a name, ignoring case.
     *
     * @param other the name, not null
     * @return true if the names are equal
     */
    public boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
