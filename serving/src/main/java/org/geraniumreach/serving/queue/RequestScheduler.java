package org.geraniumreach.serving.queue;

import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * Decides the order in which waiting requests run.
 *
 * <p>Contract: {@link #next} returns a request whenever a ready one is waiting. Implementations are guarded by the lock
 * of their {@link RequestQueue}.
 *
 * @param <T> the payload's type
 */
interface RequestScheduler<T> {

    void add(QueuedRequest<T> request);

    /**
     * Removes and returns the next request.
     *
     * @param ready tells which adapters can run
     * @param batch the running requests
     * @return the request, or empty if none is ready
     */
    Optional<QueuedRequest<T>> next(Readiness ready, RunningBatch batch);

    Optional<QueuedRequest<T>> remove(AttemptId attempt);

    /**
     * Called when a request returned by {@link #next} has ended.
     *
     * @param request the request
     * @param tokensUsed the tokens actually used
     */
    void onFinished(QueuedRequest<T> request, long tokensUsed);

    /**
     * Estimates the tokens to be processed before a new request would run.
     *
     * @param request the request
     * @return the number of tokens
     */
    long tokensAhead(QueuedRequest<T> request);
}
