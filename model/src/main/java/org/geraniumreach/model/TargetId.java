package org.geraniumreach.model;

/**
 * The name of a target, which is a model engine or a worker of a plain service.
 *
 * <p>Invariant: the value consists of 1 to {@value Names#MAXIMUM_LENGTH} letters, digits, dots, underscores and hyphens,
 * and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record TargetId(String value) implements Comparable<TargetId> {

    public TargetId {
        Names.requireName("target", value);
    }

    /**
     * Creates a name from its text.
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
