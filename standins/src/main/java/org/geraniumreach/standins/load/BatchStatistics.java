package org.geraniumreach.standins.load;

/**
 * How well the engines' batches were used.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param streams the streams that ran
 * @param meanBatch the mean over streams of the mean number of streams in their steps
 * @param meanAdapters the same for the distinct adapters
 */
public record BatchStatistics(int streams, double meanBatch, double meanAdapters) {

    static final BatchStatistics NONE = new BatchStatistics(0, 0, 0);
}
