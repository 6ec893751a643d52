/**
 * The idempotency ledger decides for each call with an idempotency key whether it may send the request, and otherwise
 * what to answer.
 *
 * <p>Nothing here does I/O or blocks. {@link org.geraniumreach.coordination.ledger.LedgerCall} takes one event at a
 * time (the result of a commit, a row, an answer of a companion) and returns the one {@link
 * org.geraniumreach.coordination.ledger.LedgerAction} to carry out next.
 */
package org.geraniumreach.coordination.ledger;
