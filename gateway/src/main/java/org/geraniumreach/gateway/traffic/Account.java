package org.geraniumreach.gateway.traffic;

import java.util.Objects;
import java.util.OptionalInt;

import org.geraniumreach.model.AccountId;

/**
 * A client account and what it may use.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the account
 * @param unitsPerSecond its rate over all entries together, 0 for no limit
 * @param burstUnits its burst over all entries together
 * @param countsTokens whether a unit is a token; otherwise it is a request
 * @param plainUnits the units of a request that names no tokens
 * @param priority the rank of its requests, before that of a route, 0 first
 */
public record Account(
        AccountId id,
        double unitsPerSecond,
        double burstUnits,
        boolean countsTokens,
        long plainUnits,
        OptionalInt priority) {

    public Account {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(priority, "priority");
        if (unitsPerSecond < 0 || burstUnits < 0 || plainUnits < 0) {
            throw new IllegalArgumentException("negative limit of account " + id);
        }
    }

    /**
     * Queries whether the account has a limit.
     *
     * @return true if it has
     */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }
}
