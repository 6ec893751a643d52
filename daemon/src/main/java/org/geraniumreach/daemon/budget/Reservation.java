package org.geraniumreach.daemon.budget;

/**
 * Tokens of a client account that are reserved for one request.
 *
 * <p>Contract: safe for use by several threads; only the first {@link #settle} has an effect. A reservation that is never
 * settled counts as fully used.
 */
public interface Reservation {

    /**
     * Gets the number of reserved tokens.
     *
     * @return the number of tokens
     */
    long tokens();

    /**
     * Ends the reservation and returns the unused tokens.
     *
     * @param actualTokens the tokens used, 0 if the request did not run
     */
    void settle(long actualTokens);
}
