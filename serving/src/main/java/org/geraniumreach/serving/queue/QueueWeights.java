package org.geraniumreach.serving.queue;

/**
 * What the fair order weighs.
 *
 * <p>Invariant: all values are in range. Immutable and safe for use by several threads.
 *
 * @param passedOverAtMost how many later requests of the same account may run before a ready one, so that a batch stays on
 *     few adapters; 0 keeps each account's requests in order
 * @param accountSlackTokens how far, in tokens, an account may run ahead of its turn for the same purpose
 * @param priorityStep by what factor a priority's share exceeds that of the one below; 1 disregards priorities
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
     * Obtains the weights where batches on few adapters count most.
     *
     * @return the weights, not null
     */
    public static QueueWeights fullBatches() {
        return new QueueWeights(16, 2048, DEFAULT_PRIORITY_STEP);
    }

    /**
     * Obtains the weights where the worst-served client account counts most.
     *
     * @return the weights, not null
     */
    public static QueueWeights worstAccountFirst() {
        return new QueueWeights(16, 512, DEFAULT_PRIORITY_STEP);
    }

    /**
     * Works out what a request adds to its account's virtual time.
     *
     * @param tokens the tokens
     * @param priority the priority, 0 to 9
     * @return the tokens, less for a higher priority
     */
    double charge(long tokens, int priority) {
        return tokens * Math.pow(priorityStep, DEFAULT_PRIORITY - priority);
    }
}
