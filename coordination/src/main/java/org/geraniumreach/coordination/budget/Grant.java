package org.geraniumreach.coordination.budget;

/**
 * Tokens set aside for one request.
 *
 * <p>Invariant: what it may give back only shrinks. Its state belongs to the {@link AccountBudget} that made it, and is
 * under that object's lock.
 */
public final class Grant {

    private final long tokens;
    long refundable;
    boolean settled;

    Grant(long tokens) {
        this.tokens = tokens;
    }

    /**
     * Gets the tokens set aside.
     *
     * @return the number of tokens
     */
    public long tokens() {
        return tokens;
    }
}
