/**
 * Enforces the rate and burst of each client account over all entries together, without a write to the table service
 * for each request.
 *
 * <p>Each entry holds a share of an account's rate and burst and spends from it on its own. Loans between entries move
 * shares to where the demand is for a short time; handovers, which are transactions of the table service, move them
 * permanently. Nothing here does I/O or blocks: {@link org.geraniumreach.coordination.budget.AccountBudget} and {@link
 * org.geraniumreach.coordination.budget.ShareManager} take events and a clock and return the actions to carry out;
 * {@link org.geraniumreach.coordination.budget.EntryBudget} combines them for one entry.
 */
package org.geraniumreach.coordination.budget;
