package org.geraniumreach.coordination.budget;

/**
 * The tokens reserved for one request.
 *
 * <p>Invariant: the refundable amount only decreases. The state is guarded by the lock of the {@link AccountBudget}
 * that created the grant.
 */
public final class Grant {

    private final long tokens;
    long refundable;
    boolean settled;

    Grant(long tokens) {
        this.tokens = tokens;
    }

    /**
     * Gets the reserved tokens.
     *
     * @return the number of tokens
     */
    public long tokens() {
        return tokens;
    }
}
