package org.geraniumreach.gateway.quota;

import org.geraniumreach.model.AccountId;

/**
 * Reaches the other entries that hold shares of accounts' rates.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface QuotaPeers {

    /**
     * Asks for units. The answer comes to {@link QuotaAdmission#onAnswer}, or never.
     *
     * @param entry the entry to be asked, not null
     * @param number tells the requests of this entry apart
     * @param account the account, not null
     * @param units the units
     * @return false if the entry cannot be reached
     */
    boolean ask(String entry, long number, AccountId account, double units);
}
