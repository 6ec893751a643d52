package org.geraniumreach.standins.engine;

/**
 * The engine's record of a finished stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the record number, from 1, in the order in which streams finished
 * @param attempt the attempt that identifies the stream
 * @param request the digest of the adapter, version and prompt in the order
 * @param account the client account
 * @param adapter the adapter and version that served the stream
 * @param fence the fencing token of the order
 * @param promptTokens the number of prompt tokens
 * @param cachedPromptTokens the number of prompt tokens that were cached
 * @param tokens the number of tokens generated
 * @param queuedMillis when the stream was queued, in milliseconds since the epoch
 * @param startMillis when the stream joined the batch, in milliseconds since the epoch, 0 if it never did
 * @param endMillis when the stream finished, in milliseconds since the epoch
 * @param outcome the outcome: ended, cancelled, unloaded or restarted
 * @param meanBatch the mean number of streams in the batch over the steps of the stream
 * @param meanAdapters the mean number of distinct adapters in the batch over the steps of the stream
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
