/**
 * The once-only ledger: decides, for each call with an idempotency key, whether this call may send the request, and what to
 * answer if it may not.
 *
 * <p>Nothing here does I/O or waits. {@link org.geraniumreach.coordination.ledger.LedgerCall} takes one event at a time
 * (a commit's result, a row, what a companion says) and returns the one {@link
 * org.geraniumreach.coordination.ledger.LedgerAction} to carry out next.
 */
package org.geraniumreach.coordination.ledger;
