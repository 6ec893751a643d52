package org.geraniumreach.standins.engine;

/**
 * The engine's own record of one stream that is over.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number its number, from 1, in the order of ending
 * @param attempt the stream
 * @param request the digest of adapter, version and prompt as named by the order
 * @param account the client account
 * @param adapter the adapter and version that ran
 * @param fence the fence that came with the order
 * @param promptTokens the tokens of the prompt
 * @param cachedPromptTokens those of them that were cached
 * @param tokens the tokens generated
 * @param queuedMillis when it came, since the epoch
 * @param startMillis when it joined the batch, 0 if it never did
 * @param endMillis when it ended
 * @param outcome how it ended: ended, cancelled, unloaded, restarted
 * @param meanBatch the mean number of streams in its steps
 * @param meanAdapters the mean number of distinct adapters in its steps
 */
public record StreamRecord(
        long number,
        String attempt,
        String request,
        String account,
        String adapter,
        long fence,
        int promptTokens,
        int cachedPromptTokens,
        int tokens,
        long queuedMillis,
        long startMillis,
        long endMillis,
        String outcome,
        double meanBatch,
        double meanAdapters) {}
