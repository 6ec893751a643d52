package org.geraniumreach.daemon.budget;

import org.geraniumreach.model.ServingException;

/**
 * Is told whether a request has its budget.
 *
 * <p>Contract: one of the methods is called, once, by the thread that reserves or by one of the executor; it must not block.
 */
public interface BudgetCallback {

    /**
     * Tells that the tokens are set aside.
     *
     * @param reservation to be settled when the request ends, not null
     */
    void granted(Reservation reservation);

    /**
     * Tells that the request may not run.
     *
     * @param refusal OUT_OF_BUDGET with the time to come back, or REQUEST_ABOVE_BURST; it has not run, not null
     */
    void refused(ServingException refusal);
}
