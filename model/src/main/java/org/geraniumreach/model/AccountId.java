package org.geraniumreach.model;

/**
 * The name of a client account, which has keys, a rate and assigned adapters.
 *
 * <p>Invariant: the value consists of 1 to {@value Names#MAXIMUM_LENGTH} letters, digits, dots, underscores and hyphens,
 * and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record AccountId(String value) implements Comparable<AccountId> {

    public AccountId {
        Names.requireName("client account", value);
    }

    /**
     * Creates a name from its text.
     *
     * @param value the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static AccountId of(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
