package org.geraniumreach.standins.load;

import org.geraniumreach.model.AdapterReference;

/**
 * A generation that was sent, and how it ended.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account who sent it
 * @param adapter the adapter and version named
 * @param sentMillis when it was sent, since the epoch
 * @param outcome how it ended
 */
record SentGeneration(String account, AdapterReference adapter, long sentMillis, Outcome outcome) {}
