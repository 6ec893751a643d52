package org.geraniumreach.serving.queue;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * A request that waits at a companion for its target.
 *
 * <p>Invariant: the cost is positive; the priority is 0 to 9. Immutable, and safe for use by several threads if the payload
 * is.
 *
 * @param attempt the attempt
 * @param account for whom
 * @param adapter on what, empty for a plain service
 * @param tokens what it costs: its prompt and the most that it may generate
 * @param priority 0 to 9, 9 first
 * @param deadlineNanos when it must be done, by the queue's clock
 * @param payload what the companion needs to run it
 * @param <T> the payload's type
 */
public record QueuedRequest<T>(
        AttemptId attempt,
        AccountId account,
        Optional<AdapterReference> adapter,
        long tokens,
        int priority,
        long deadlineNanos,
        T payload) {

    private static final int HIGHEST_PRIORITY = 9;

    public QueuedRequest {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(adapter, "adapter");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens below 1: " + tokens);
        }
        if (priority < 0 || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority outside 0 to 9: " + priority);
        }
    }
}
