package org.geraniumreach.model;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The check that all names of the system share.
 *
 * <p>Invariant: what passes is safe in a URL path, a table key, a metric label and a log line, so no reader of a name has
 * to escape it. Stateless and safe for use by several threads.
 */
public final class Names {

    /** The greatest number of characters in a name. */
    public static final int MAXIMUM_LENGTH = 120;

    private static final Pattern NAME_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0," + (MAXIMUM_LENGTH - 1) + "}");

    private Names() {}

    /**
     * Queries whether a text is a valid name.
     *
     * @param value the text, null answers false
     * @return true if it is valid
     */
    public static boolean isName(String value) {
        return value != null && NAME_PATTERN.matcher(value).matches();
    }

    /**
     * Checks a name.
     *
     * @param what what the name is of, for the message
     * @param value the text to check, not null
     * @return the text
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static String requireName(String what, String value) {
        Objects.requireNonNull(value, what);
        if (!isName(value)) {
            throw new IllegalArgumentException("invalid name of " + what + ": '" + abbreviate(value) + "'");
        }
        return value;
    }

    private static String abbreviate(String value) {
        return value.length() <= MAXIMUM_LENGTH ? value : value.substring(0, MAXIMUM_LENGTH) + "...";
    }
}
