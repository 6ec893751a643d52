package org.geraniumreach.model;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Validates the names of all entities.
 *
 * <p>Invariant: a valid name can be used in a URL path, a table key, a metric label and a log line without escaping.
 * Stateless and safe for use by several threads.
 */
public final class Names {

    /** The maximum number of characters in a name. */
    public static final int MAXIMUM_LENGTH = 120;

    private static final Pattern NAME_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0," + (MAXIMUM_LENGTH - 1) + "}");

    private Names() {}

    /**
     * Checks whether a text is a valid name.
     *
     * @param value the text, null returns false
     * @return true if the text is valid
     */
    public static boolean isName(String value) {
        return value != null && NAME_PATTERN.matcher(value).matches();
    }

    /**
     * Requires that a text is a valid name.
     *
     * @param entity the kind of entity that the name denotes, for the message
     * @param value the text to validate, not null
     * @return the text
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static String requireName(String entity, String value) {
        Objects.requireNonNull(value, entity);
        if (!isName(value)) {
            throw new IllegalArgumentException("invalid name of " + entity + ": '" + abbreviate(value) + "'");
        }
        return value;
    }

    private static String abbreviate(String value) {
        return value.length() <= MAXIMUM_LENGTH ? value : value.substring(0, MAXIMUM_LENGTH) + "...";
    }
}
