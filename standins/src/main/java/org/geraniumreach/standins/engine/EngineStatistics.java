package org.geraniumreach.standins.engine;

/**
 * Totals over the steps of an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param steps the number of steps
 * @param tokens the number of tokens generated, which equals the sum of the batch sizes
 * @param adapters the sum over all steps of the number of distinct adapters
 * @param busyMicros the duration of all steps, in microseconds
 * @param unloadedWhileServing the number of streams aborted because their adapter was unloaded
 */
public record EngineStatistics(long steps, long tokens, long adapters, double busyMicros, long unloadedWhileServing) {

    static final EngineStatistics NONE = new EngineStatistics(0, 0, 0, 0, 0);

    EngineStatistics withStep(int batch, int distinctAdapters, double micros) {
        return new EngineStatistics(
                steps + 1, tokens + batch, adapters + distinctAdapters, busyMicros + micros, unloadedWhileServing);
    }

    EngineStatistics withUnloadedWhileServing(int streams) {
        return new EngineStatistics(steps, tokens, adapters, busyMicros, unloadedWhileServing + streams);
    }
}
