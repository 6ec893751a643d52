package org.geraniumreach.standins.engine;

/**
 * How a stand-in engine behaves.
 *
 * <p>Invariant: no number is negative; slots and batch are at least 1. Immutable and safe for use by several threads.
 *
 * @param slots the adapters that it can hold at once
 * @param maximumBatch the streams in a batch
 * @param stepMicros the time of a step, whatever is in the batch
 * @param streamMicros what each stream in the batch adds
 * @param adapterMicros what each distinct adapter in the batch adds
 * @param prefillMicros what each prompt token adds to the step in which its stream joins
 * @param cachedPrefillMicros the same for a token of a cached prefix
 * @param prefixCacheTokens the prompt tokens that the prefix cache holds
 * @param checksFence whether orders with an old fence are refused
 * @param keepFinishedMillis how long the end of a stream can be asked for again
 * @param loadLagMillis how old the load in the state is
 * @param eventLagMillis how late cache events are
 * @param eventLossPercent how many cache events in a hundred are lost
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
