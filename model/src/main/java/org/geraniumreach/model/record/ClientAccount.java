package org.geraniumreach.model.record;

import org.geraniumreach.model.AccountId;

/**
 * The rate limit and priority of a client account.
 *
 * <p>Invariant: the rate and burst are positive; the priority ranges from 0 (lowest) to 9 (highest). Immutable
 * and safe for use by several threads.
 *
 * @param id the name of the account
 * @param tokensPerSecond the rate limit over all instances
 * @param burstTokens the maximum number of tokens in a burst
 * @param priority the priority, from 0 (lowest) to 9 (highest)
 */
public record ClientAccount(AccountId id, long tokensPerSecond, long burstTokens, int priority) {

    /** The priority of an account whose record does not specify one. */
    public static final int DEFAULT_PRIORITY = 5;

    /** The highest priority. */
    public static final int HIGHEST_PRIORITY = 9;
}
