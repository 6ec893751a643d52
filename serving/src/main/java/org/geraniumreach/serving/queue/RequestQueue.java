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
 * The requests that wait for a target or run on it.
 *
 * <p>Invariants: a request is in one of the states waiting, running and gone, and passes through them in this order; at
 * most the concurrency limit is running when one is taken; one is taken whenever the limit allows and a ready one waits.
 * Safe for use by several threads, under its own lock.
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
     * Makes an empty queue.
     *
     * @param policy the order, not null
     * @param weights what the order weighs, not null
     * @param concurrency how many requests run at once, not null
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
     * Puts a request in.
     *
     * @param request the request, not null
     * @return false if its attempt is waiting or running already, and nothing changed
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
     * Takes the next request to run, if the limit allows another one; {@link #finished} must follow.
     *
     * @param ready which adapters can run at once, not null
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
     * Takes a waiting request out, so that it never runs.
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
     * Takes out the waiting requests whose deadline has passed.
     *
     * @return the requests, not null
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
     * Tells that a running request has ended in whatever way; what is not running is passed over.
     *
     * @param attempt the attempt, not null
     * @param tokensUsed what it cost, prompt and generated tokens together, not negative
     * @param generatedTokens the tokens generated, from which the target's latency is learnt; 0 if it failed
     */
    public synchronized void finished(AttemptId attempt, long tokensUsed, long generatedTokens) {
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
     * Estimates the tokens to be worked off before a request would run.
     *
     * @param request the request, which need not be in the queue, not null
     * @return the tokens
     */
    public synchronized long tokensAhead(QueuedRequest<T> request) {
        return scheduler.tokensAhead(request);
    }

    public synchronized int waiting() {
        return waiting.size();
    }

    public synchronized long waitingTokens() {
        return waitingTokens;
    }

    public synchronized int running() {
        return running.size();
    }

    /**
     * Gets the number of adapters among the running requests.
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
