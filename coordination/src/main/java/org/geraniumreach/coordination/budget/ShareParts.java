package org.geraniumreach.coordination.budget;

/**
 * Defines the unit of shares.
 *
 * <p>A share is a number of parts of a whole. The contents of a bucket are counted in the same parts of a token, so
 * that a share of a rate or burst is an exact integer product. Stateless and safe for use by several threads.
 */
public final class ShareParts {

    /** The number of parts in an account's whole rate and burst, and in one token. */
    public static final long WHOLE = 1L << 20;

    /** The maximum rate or burst in tokens for which no product overflows. */
    public static final long MAX_TOKENS = 1L << 40;

    private ShareParts() {}

    /**
     * Checks a number of parts.
     *
     * @param parts the number of parts
     * @return the same number
     * @throws IllegalArgumentException if it is negative or above the whole
     */
    public static long requireValid(long parts) {
        if (parts < 0 || parts > WHOLE) {
            throw new IllegalArgumentException("share of " + parts + " parts is not within 0 to " + WHOLE);
        }
        return parts;
    }
}
