package org.geraniumreach.daemon.ledger;

/**
 * The answer to a request that runs at most once.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param body the complete body; the array must not be changed
 * @param replayed whether the answer was stored by an earlier call with the same key
 */
public record LedgerAnswer(byte[] body, boolean replayed) {}
