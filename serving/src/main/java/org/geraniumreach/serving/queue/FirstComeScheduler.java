package org.geraniumreach.serving.queue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * A baseline scheduler that runs ready requests in order of arrival.
 *
 * <p>Guarded by the lock of its {@link RequestQueue}.
 *
 * @param <T> the payload's type
 */
final class FirstComeScheduler<T> implements RequestScheduler<T> {

    private final Map<AttemptId, QueuedRequest<T>> waiting = new LinkedHashMap<>();
    private long waitingTokens;

    @Override
    public void add(QueuedRequest<T> request) {
        waiting.put(request.attempt(), request);
        waitingTokens += request.tokens();
    }

    @Override
    public Optional<QueuedRequest<T>> next(Readiness ready, RunningBatch batch) {
        for (Iterator<QueuedRequest<T>> iterator = waiting.values().iterator(); iterator.hasNext(); ) {
            QueuedRequest<T> request = iterator.next();
            if (request.adapter().map(ready::isReady).orElse(true)) {
                iterator.remove();
                waitingTokens -= request.tokens();
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        Optional<QueuedRequest<T>> removed = Optional.ofNullable(waiting.remove(attempt));
        removed.ifPresent(request -> waitingTokens -= request.tokens());
        return removed;
    }

    @Override
    public void onFinished(QueuedRequest<T> request, long tokensUsed) {}

    @Override
    public long tokensAhead(QueuedRequest<T> request) {
        return waitingTokens;
    }
}
