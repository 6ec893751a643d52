package org.geraniumreach.standins.load;

import org.geraniumreach.model.AdapterReference;

/**
 * A generation that was sent, with its outcome.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account the client account that sent the generation
 * @param adapter the requested adapter and version
 * @param sentMillis when the generation was sent, in milliseconds since the epoch
 * @param outcome the outcome
 */
record SentGeneration(String account, AdapterReference adapter, long sentMillis, Outcome outcome) {}
