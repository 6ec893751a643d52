package org.geraniumreach.model;

/**
 * The name of an instance, as reported by the instance list. A replacement process may have the same name.
 *
 * <p>Invariant: the value consists of 1 to {@value Names#MAXIMUM_LENGTH} letters, digits, dots, underscores and hyphens,
 * and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    public InstanceId {
        Names.requireName("instance", value);
    }

    /**
     * Creates a name from its text.
     *
     * @param value the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
