package org.geraniumreach.serving.queue;

/**
 * How many requests a target is given at once.
 *
 * <p>Contract: the limit is at least 1. Implementations are safe for use by several threads.
 */
public interface ConcurrencyLimit {

    int limit();

    /**
     * Tells of a request that ended.
     *
     * @param nanosPerToken how long it ran for each token generated
     * @param running the requests that ran beside it, itself included
     */
    void onSample(double nanosPerToken, int running);

    /**
     * Obtains the baseline, a limit that stays.
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
