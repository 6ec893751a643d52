package org.geraniumreach.serving.queue;

/**
 * The maximum number of requests that run on a target concurrently.
 *
 * <p>Contract: the limit is at least 1. Implementations are safe for use by several threads.
 */
public interface ConcurrencyLimit {

    int limit();

    /**
     * Called when a request has ended, with its latency.
     *
     * @param nanosPerToken its running time for each generated token
     * @param running the number of requests running when it ended, including itself
     */
    void onSample(double nanosPerToken, int running);

    /**
     * Obtains a constant limit.
     *
     * @param limit the limit, at least 1
     * @return the limit, not null
     */
    static ConcurrencyLimit fixed(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit below 1: " + limit);
        }
        return new ConcurrencyLimit() {
            @Override
            public int limit() {
                return limit;
            }

            @Override
            public void onSample(double nanosPerToken, int running) {}
        };
    }
}
