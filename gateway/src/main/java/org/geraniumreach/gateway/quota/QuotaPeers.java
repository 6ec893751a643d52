package org.geraniumreach.gateway.quota;

import org.geraniumreach.model.AccountId;

/**
 * Sends requests for units to the other entries that hold shares of accounts' rates.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface QuotaPeers {

    /**
     * Requests units from another entry. The answer is passed to {@link QuotaAdmission#onAnswer}; it may never come.
     *
     * @param entry the instance of the entry to ask, not null
     * @param number identifies the request among those of this entry
     * @param account the account, not null
     * @param units the units
     * @return false if the entry cannot be reached
     */
    boolean requestUnits(String entry, long number, AccountId account, double units);
}
