package org.geraniumreach.model;

import java.util.Objects;

/**
 * The version of a target's software. Versions can only be compared for equality, and only within one service.
 *
 * <p>Invariant: the value is not blank and has at most {@value #MAXIMUM_LENGTH} characters. Immutable and safe for use by
 * several threads.
 *
 * @param value the text of the version
 */
public record SoftwareVersion(String value) {

    /** The maximum length of a version, in characters. */
    public static final int MAXIMUM_LENGTH = 200;

    public SoftwareVersion {
        Objects.requireNonNull(value, "value");
        if (value.isBlank() || value.length() > MAXIMUM_LENGTH) {
            throw new IllegalArgumentException("not a software version: \"" + value + '"');
        }
    }

    /**
     * Creates a version from its text.
     *
     * @param value the text, not null
     * @return the version, not null
     * @throws IllegalArgumentException if the text is blank or too long
     */
    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
