package org.geraniumreach.model;

/**
 * The name of a back end: a model engine or a plain service's worker.
 *
 * <p>Invariant: the value has 1 to {@value Names#MAXIMUM_LENGTH} characters out of letters, digits, dot, underscore and
 * hyphen, and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record TargetId(String value) implements Comparable<TargetId> {

    public TargetId {
        Names.requireName("target", value);
    }

    /**
     * Obtains a name from its text.
     *
     * @param value the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
