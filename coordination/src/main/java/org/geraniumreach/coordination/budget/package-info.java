/**
 * Budgets of client accounts: rate and burst that hold over all entries together, without a debit in the table service for
 * each request.
 *
 * <p>Each entry holds a share of an account's rate and burst and spends from it on its own. Shares follow demand: for a
 * short time by loans between entries, for longer by handovers, which are transactions of the table service. Nothing here
 * does I/O or waits: {@link org.geraniumreach.coordination.budget.AccountBudget} and {@link
 * org.geraniumreach.coordination.budget.ShareKeeper} take events and a clock and return what is to be done; {@link
 * org.geraniumreach.coordination.budget.EntryBudget} puts them together for one entry.
 */
package org.geraniumreach.coordination.budget;
