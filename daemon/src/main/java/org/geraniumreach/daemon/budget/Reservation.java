package org.geraniumreach.daemon.budget;

/**
 * Tokens of a client account that were set aside for one request.
 *
 * <p>Contract: safe for use by several threads; only the first {@link #settle} counts. A reservation that is never settled
 * counts as used whole.
 */
public interface Reservation {

    /**
     * Gets how many tokens were set aside.
     *
     * @return the number of tokens
     */
    long tokens();

    /**
     * Ends the reservation, and gives back what was not used.
     *
     * @param actualTokens the tokens used, 0 if the request did not run
     */
    void settle(long actualTokens);
}
