package org.geraniumreach.daemon.ledger;

/**
 * The answer to a request that may run once only.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param body the answer's body, whole; the array must not be changed
 * @param replayed whether it comes from an earlier call with the same key
 */
public record LedgerAnswer(byte[] body, boolean replayed) {}
