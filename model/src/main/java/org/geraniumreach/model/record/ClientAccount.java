package org.geraniumreach.model.record;

import org.geraniumreach.model.AccountId;

/**
 * A client account's rate and standing.
 *
 * <p>Invariant: rate and burst are positive; the priority is 0 (last) to 9 (first). Immutable and safe for use by several
 * threads.
 *
 * @param id the account
 * @param tokensPerSecond the rate over all instances together
 * @param burstTokens the greatest number of tokens at once
 * @param priority 0 to 9, 9 first
 */
public record ClientAccount(AccountId id, long tokensPerSecond, long burstTokens, int priority) {

    /** The priority of an account whose record names none. */
    public static final int DEFAULT_PRIORITY = 5;

    /** The first priority. */
    public static final int HIGHEST_PRIORITY = 9;
}
