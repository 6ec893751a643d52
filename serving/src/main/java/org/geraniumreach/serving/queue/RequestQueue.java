package org.geraniumreach.serving.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.MonotonicClock;

/**
 * A queue of requests for one target, which also tracks the running ones.
 *
 * <p>Invariants: a request is waiting, then running, then ended, and may end without running; a request is taken only
 * while fewer than the concurrency limit are running; {@link #take} returns a request whenever the limit allows and a
 * ready one is waiting. Safe for use by several threads, under its own lock.
 *
 * @param <T> the payload's type
 */
public final class RequestQueue<T> {

    private final RequestScheduler<T> scheduler;
    private final ConcurrencyLimit concurrency;
    private final MonotonicClock clock;
    private final Map<AttemptId, QueuedRequest<T>> waiting = new HashMap<>();
    private final Map<AttemptId, RunningRequest<T>> running = new HashMap<>();
    private final RunningBatch batch = new RunningBatch();
    private long waitingTokens;

    private RequestQueue(RequestScheduler<T> order, ConcurrencyLimit concurrency, MonotonicClock clock) {
        this.scheduler = order;
        this.concurrency = Objects.requireNonNull(concurrency, "concurrency");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates an empty queue.
     *
     * @param policy the scheduling policy, not null
     * @param weights the weights of the policy, not null
     * @param concurrency the limit on concurrently running requests, not null
     * @param clock the clock, not null
     * @param <T> the payload's type
     * @return the queue, not null
     */
    public static <T> RequestQueue<T> create(
            QueuePolicy policy, QueueWeights weights, ConcurrencyLimit concurrency, MonotonicClock clock) {
        return new RequestQueue<>(policy.createScheduler(weights), concurrency, clock);
    }

    private record RunningRequest<T>(QueuedRequest<T> request, long startedNanos) {}

    /**
     * Adds a request.
     *
     * @param request the request, not null
     * @return false if its attempt is already waiting or running, in which case the queue is unchanged
     */
    public synchronized boolean offer(QueuedRequest<T> request) {
        if (running.containsKey(request.attempt()) || waiting.putIfAbsent(request.attempt(), request) != null) {
            return false;
        }
        waitingTokens += request.tokens();
        scheduler.add(request);
        return true;
    }

    /**
     * Takes the next request to run, if the limit allows one. The caller must report its end by {@link #onFinished}.
     *
     * @param ready tells which adapters can run, not null
     * @return the request, or empty if none can run now
     */
    public synchronized Optional<QueuedRequest<T>> take(Readiness ready) {
        if (running.size() >= concurrency.limit()) {
            return Optional.empty();
        }
        Optional<QueuedRequest<T>> next = scheduler.next(ready, batch);
        next.ifPresent(this::start);
        return next;
    }

    private void start(QueuedRequest<T> request) {
        waiting.remove(request.attempt());
        waitingTokens -= request.tokens();
        request.adapter().ifPresent(batch::add);
        running.put(request.attempt(), new RunningRequest<>(request, clock.nanos()));
    }

    /**
     * Removes a waiting request, so that it never runs.
     *
     * @param attempt the attempt, not null
     * @return the request, or empty if it is not waiting
     */
    public synchronized Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        QueuedRequest<T> request = waiting.remove(attempt);
        if (request == null) {
            return Optional.empty();
        }
        waitingTokens -= request.tokens();
        return scheduler.remove(attempt);
    }

    /**
     * Removes the waiting requests whose deadline has passed.
     *
     * @return the removed requests, not null
     */
    public synchronized List<QueuedRequest<T>> removeExpired() {
        long now = clock.nanos();
        List<QueuedRequest<T>> expired = new ArrayList<>();
        for (QueuedRequest<T> request : List.copyOf(waiting.values())) {
            if (now - request.deadlineNanos() >= 0) {
                remove(request.attempt()).ifPresent(expired::add);
            }
        }
        return expired;
    }

    /**
     * Called when a running request has ended, whether it succeeded or not. Ignored if the attempt is not running.
     *
     * @param attempt the attempt, not null
     * @param tokensUsed the tokens of the prompt and the answer, not negative
     * @param generatedTokens the tokens of the answer, used to measure the target's latency; 0 if the request failed
     */
    public synchronized void onFinished(AttemptId attempt, long tokensUsed, long generatedTokens) {
        RunningRequest<T> ended = running.get(attempt);
        if (ended == null) {
            return;
        }
        if (generatedTokens > 0) {
            concurrency.onSample((double) (clock.nanos() - ended.startedNanos) / generatedTokens, running.size());
        }
        running.remove(attempt);
        ended.request.adapter().ifPresent(batch::remove);
        scheduler.onFinished(ended.request, tokensUsed);
    }

    /**
     * Estimates the tokens to be processed before a request would run.
     *
     * @param request the request, which need not be in the queue, not null
     * @return the number of tokens
     */
    public synchronized long tokensAhead(QueuedRequest<T> request) {
        return scheduler.tokensAhead(request);
    }

    public synchronized int waitingCount() {
        return waiting.size();
    }

    public synchronized long waitingTokens() {
        return waitingTokens;
    }

    public synchronized int runningCount() {
        return running.size();
    }

    /**
     * Gets the number of different adapters of the running requests.
     *
     * @return the number
     */
    public synchronized int runningAdapterCount() {
        return batch.adapterCount();
    }

    public int concurrencyLimit() {
        return concurrency.limit();
    }
}
