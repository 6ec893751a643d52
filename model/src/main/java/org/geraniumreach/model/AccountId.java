package org.geraniumreach.model;

/**
 * The name of a client account, to which keys, rates and adapters belong.
 *
 * <p>Invariant: the value has 1 to {@value Names#MAXIMUM_LENGTH} characters out of letters, digits, dot, underscore and
 * hyphen, and starts with a letter or digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record AccountId(String value) implements Comparable<AccountId> {

    public AccountId {
        Names.requireName("client account", value);
    }

    /**
     * Obtains a name from its text.
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
