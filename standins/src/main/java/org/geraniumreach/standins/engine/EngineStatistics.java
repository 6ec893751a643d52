package org.geraniumreach.standins.engine;

/**
 * Sums over an engine's steps.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param steps the steps taken
 * @param tokens the tokens generated, which is also the sum of the batches' sizes
 * @param adapters the sum over the steps of the distinct adapters
 * @param busyMicros the time of all steps
 * @param unloadedWhileServing streams that broke off because their adapter was unloaded
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
