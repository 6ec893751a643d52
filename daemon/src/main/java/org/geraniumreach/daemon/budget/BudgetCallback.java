package org.geraniumreach.daemon.budget;

import org.geraniumreach.model.ServingException;

/**
 * Receives the outcome of one {@link BudgetService#reserve}.
 *
 * <p>Contract: exactly one of the methods is called, once, on the reserving thread or on a thread of the executor; it must
 * not block.
 */
public interface BudgetCallback {

    /**
     * Called when the tokens are reserved.
     *
     * @param reservation the reservation, which must be settled when the request ends, not null
     */
    void onGranted(Reservation reservation);

    /**
     * Called when the request must not run.
     *
     * @param refusal OUT_OF_BUDGET with a retry-after time, or REQUEST_ABOVE_BURST, both as not run; not null
     */
    void onRefused(ServingException refusal);
}
