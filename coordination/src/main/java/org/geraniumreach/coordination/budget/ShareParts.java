package org.geraniumreach.coordination.budget;

/**
 * The unit in which shares are counted.
 *
 * <p>A share is a number of parts of a whole; a bucket's content is counted in the same parts of a token, so that a share of
 * a rate or burst is an exact product. Stateless and safe for use by several threads.
 */
public final class ShareParts {

    /** The parts that make the whole of an account's rate and burst, and of one token. */
    public static final long WHOLE = 1L << 20;

    /** The greatest rate or burst, in tokens, for which all products fit. */
    public static final long GREATEST_TOKENS = 1L << 40;

    private ShareParts() {}

    /**
     * Checks a number of parts.
     *
     * @param parts the number
     * @return the number
     * @throws IllegalArgumentException if it is negative or above the whole
     */
    public static long require(long parts) {
        if (parts < 0 || parts > WHOLE) {
            throw new IllegalArgumentException("share of " + parts + " parts is not within 0 to " + WHOLE);
        }
        return parts;
    }
}
