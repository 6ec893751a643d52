package org.geraniumreach.standins.engine;

/**
 * The settings of a stand-in engine.
 *
 * <p>Invariant: no number is negative; slots and batch are at least 1. Immutable and safe for use by several threads.
 *
 * @param slots the number of adapters that can be resident at once
 * @param maximumBatch the maximum number of streams in a batch
 * @param stepMicros the fixed duration of a step, in microseconds
 * @param streamMicros the time that each stream in the batch adds to a step
 * @param adapterMicros the time that each distinct adapter in the batch adds to a step
 * @param prefillMicros the prefill time per prompt token, added to the step in which the stream joins
 * @param cachedPrefillMicros the prefill time per token of a cached prefix
 * @param prefixCacheTokens the capacity of the prefix cache in prompt tokens
 * @param checksFence whether orders with an outdated fencing token are refused
 * @param keepFinishedMillis how long a finished stream can be resumed
 * @param loadLagMillis the interval at which the reported load is refreshed
 * @param eventLagMillis the delay before a cache event is published
 * @param eventLossPercent the percentage of cache events that are lost
 */
public record EngineSettings(
        int slots,
        int maximumBatch,
        double stepMicros,
        double streamMicros,
        double adapterMicros,
        double prefillMicros,
        double cachedPrefillMicros,
        int prefixCacheTokens,
        boolean checksFence,
        long keepFinishedMillis,
        long loadLagMillis,
        long eventLagMillis,
        int eventLossPercent) {

    public EngineSettings {
        if (slots < 1 || maximumBatch < 1) {
            throw new IllegalArgumentException("slots and batch must be at least 1: " + slots + ", " + maximumBatch);
        }
        if (stepMicros < 0 || streamMicros < 0 || adapterMicros < 0 || prefillMicros < 0 || cachedPrefillMicros < 0) {
            throw new IllegalArgumentException("negative time of a step");
        }
    }
}
