package org.geraniumreach.model;

/**
 * The name of a set of instances that are lost together.
 *
 * <p>Invariant: the value has 1 to {@value Names#MAXIMUM_LENGTH} characters out of letters, digits, dot, underscore and
 * hyphen, and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    public FailureDomain {
        Names.requireName("failure domain", value);
    }

    /**
     * Obtains a name from its text.
     *
     * @param value the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
