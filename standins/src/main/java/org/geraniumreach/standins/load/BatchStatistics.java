package org.geraniumreach.standins.load;

/**
 * Statistics of the batch use of the engines.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param streams the number of streams that ran
 * @param meanBatch the mean over all streams of the mean number of streams in the batch
 * @param meanAdapters the mean over all streams of the mean number of distinct adapters in the batch
 */
public record BatchStatistics(int streams, double meanBatch, double meanAdapters) {

    static final BatchStatistics NONE = new BatchStatistics(0, 0, 0);
}
