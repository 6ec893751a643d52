package org.geraniumreach.serving.queue;

/**
 * The weights of fair queueing.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param passedOverAtMost the maximum number of later requests of the same account that may run before a ready one, so
 *     that batches use few adapters; 0 keeps each account's requests in order of arrival
 * @param accountSlackTokens the maximum number of tokens by which an account may run ahead of its turn, for the same
 *     purpose
 * @param priorityStep the factor by which the share of each priority exceeds that of the next lower one; 1 ignores
 *     priorities
 */
public record QueueWeights(int passedOverAtMost, long accountSlackTokens, double priorityStep) {

    private static final int DEFAULT_PRIORITY = 5;
    private static final double DEFAULT_PRIORITY_STEP = 1.25;

    public QueueWeights {
        if (passedOverAtMost < 0 || accountSlackTokens < 0) {
            throw new IllegalArgumentException("negative weight: " + passedOverAtMost + ", " + accountSlackTokens);
        }
        if (!(priorityStep >= 1)) {
            throw new IllegalArgumentException("priorityStep below 1: " + priorityStep);
        }
    }

    /**
     * Obtains the weights that favour batches with few adapters.
     *
     * @return the weights, not null
     */
    public static QueueWeights fullBatches() {
        return new QueueWeights(16, 2048, DEFAULT_PRIORITY_STEP);
    }

    /**
     * Obtains the weights that favour the worst-served client account.
     *
     * @return the weights, not null
     */
    public static QueueWeights worstAccountFirst() {
        return new QueueWeights(16, 512, DEFAULT_PRIORITY_STEP);
    }

    /**
     * Computes the amount by which a request advances its account's virtual time.
     *
     * @param tokens the request's tokens
     * @param priority the request's priority, 0 to 9
     * @return the tokens, scaled down for a higher priority
     */
    double charge(long tokens, int priority) {
        return tokens * Math.pow(priorityStep, DEFAULT_PRIORITY - priority);
    }
}
