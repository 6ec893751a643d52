package org.geraniumreach.serving.queue;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * A request that waits at a companion for its target.
 *
 * <p>Invariant: the number of tokens is positive; the priority is 0 to 9. Immutable, and safe for use by several
 * threads if the payload is.
 *
 * @param attempt the request's attempt
 * @param account the client account
 * @param adapter the adapter, empty for a plain service
 * @param tokens the tokens of the prompt plus the maximum number of generated tokens
 * @param priority 0 to 9, 9 is the highest
 * @param deadlineNanos the deadline in nanoseconds of the queue's clock
 * @param payload the data that the companion needs to run the request
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
