package org.geraniumreach.model;

/**
 * The name of a plain service that targets provide.
 *
 * <p>Invariant: the value consists of 1 to {@value Names#MAXIMUM_LENGTH} letters, digits, dots, underscores and hyphens,
 * and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Names.requireName("service", value);
    }

    /**
     * Creates a name from its text.
     *
     * @param value the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
