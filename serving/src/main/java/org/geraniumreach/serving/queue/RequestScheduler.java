package org.geraniumreach.serving.queue;

import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * The order in which waiting requests run.
 *
 * <p>Contract: {@link #next} answers a request whenever one that is ready waits. Implementations are confined to the lock
 * of the {@link RequestQueue} that uses them.
 *
 * @param <T> the payload's type
 */
interface RequestScheduler<T> {

    void add(QueuedRequest<T> request);

    /**
     * Takes the next request out.
     *
     * @param ready which adapters can run
     * @param batch what is running
     * @return the request, or empty if none is ready
     */
    Optional<QueuedRequest<T>> next(Readiness ready, RunningBatch batch);

    Optional<QueuedRequest<T>> remove(AttemptId attempt);

    /**
     * Tells that a request that was taken has ended.
     *
     * @param request the request
     * @param tokensUsed what it really cost
     */
    void onFinished(QueuedRequest<T> request, long tokensUsed);

    /**
     * Estimates the tokens to be worked off before a new request of an account would run.
     *
     * @param request the request
     * @return the tokens
     */
    long tokensAhead(QueuedRequest<T> request);
}
