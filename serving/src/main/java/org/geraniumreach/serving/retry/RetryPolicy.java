package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.ExecutionStatus;

/**
 * Decides whether a failed request is retried, and after which delay.
 *
 * <p>Invariant: a request that is not repeatable is retried only if it is known not to have run. Safe for use by
 * several threads.
 */
@FunctionalInterface
public interface RetryPolicy {

    /**
     * Decides whether to retry a request.
     *
     * @param failure the failed attempt, not null
     * @return the delay before the retry, or empty if the request is not retried
     */
    Optional<Duration> decide(FailedAttempt failure);

    /**
     * A failed attempt at a request.
     *
     * @param repeatable whether the request may run more than once
     * @param ran whether the attempt ran
     * @param responseStarted whether part of the response has been sent to the caller
     * @param failures the number of failed attempts, including this one
     * @param timeToDeadline the time until the request's deadline
     */
    record FailedAttempt(
            boolean repeatable, ExecutionStatus ran, boolean responseStarted, int failures, Duration timeToDeadline) {

        public FailedAttempt {
            Objects.requireNonNull(ran, "ran");
            Objects.requireNonNull(timeToDeadline, "timeToDeadline");
        }

        private boolean isSafeToRetry() {
            return ran == ExecutionStatus.NO || repeatable && !responseStarted;
        }
    }

    /**
     * Obtains the policy that never retries.
     *
     * @return the policy, not null
     */
    static RetryPolicy never() {
        return failure -> Optional.empty();
    }

    /**
     * Obtains a policy that retries within a budget.
     *
     * @param budget the budget, shared by all requests of the process, not null
     * @param backoff the back-off between attempts, not null
     * @param maximumTries the maximum number of attempts at one request, at least 1
     * @param random the random source, safe for use by several threads, not null
     * @return the policy, not null
     */
    static RetryPolicy budgeted(RetryBudget budget, Backoff backoff, int maximumTries, RandomGenerator random) {
        if (maximumTries < 1) {
            throw new IllegalArgumentException("maximumTries below 1: " + maximumTries);
        }
        return failure -> {
            if (!failure.isSafeToRetry() || failure.failures() >= maximumTries) {
                return Optional.empty();
            }
            Duration delay = backoff.delay(failure.failures(), random);
            if (delay.compareTo(failure.timeToDeadline()) >= 0 || !budget.tryAcquire()) {
                return Optional.empty();
            }
            return Optional.of(delay);
        };
    }
}
