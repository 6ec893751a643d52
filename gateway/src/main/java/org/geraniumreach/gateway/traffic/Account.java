package org.geraniumreach.gateway.traffic;

import java.util.Objects;
import java.util.OptionalInt;

import org.geraniumreach.model.AccountId;

/**
 * A client account with its rate limit and priority.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the account's id
 * @param unitsPerSecond the rate across all entries, 0 for no limit
 * @param burstUnits the burst across all entries
 * @param countsTokens whether a unit is a token rather than a request
 * @param defaultUnits the units of a request that does not state its number of tokens
 * @param priority the priority of the account's requests, which overrides that of the route; 0 is the highest
 */
public record Account(
        AccountId id,
        double unitsPerSecond,
        double burstUnits,
        boolean countsTokens,
        long defaultUnits,
        OptionalInt priority) {

    public Account {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(priority, "priority");
        if (unitsPerSecond < 0 || burstUnits < 0 || defaultUnits < 0) {
            throw new IllegalArgumentException("negative limit of account " + id);
        }
    }

    /**
     * Queries whether the account has a limit.
     *
     * @return true if it has a limit
     */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }
}
