package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.Ran;

/**
 * Decides whether a failed request is tried again, and after what delay.
 *
 * <p>Invariant: a request that may not be repeated is tried again only if it is shown not to have run. Safe for use by
 * several threads.
 */
@FunctionalInterface
public interface RetryPolicy {

    /**
     * Decides.
     *
     * @param failure what failed, not null
     * @return the delay before the next try, or empty if there is to be none
     */
    Optional<Duration> decide(Failure failure);

    /**
     * A request's failed try.
     *
     * @param repeatable whether it may run more than once
     * @param ran whether the try ran
     * @param responseStarted whether the caller has been sent a part of the answer
     * @param failures the tries that have failed, this one included
     * @param timeToDeadline what is left of the deadline
     */
    record Failure(boolean repeatable, Ran ran, boolean responseStarted, int failures, Duration timeToDeadline) {

        public Failure {
            Objects.requireNonNull(ran, "ran");
            Objects.requireNonNull(timeToDeadline, "timeToDeadline");
        }

        private boolean isSafeToRetry() {
            return ran == Ran.NO || repeatable && !responseStarted;
        }
    }

    /**
     * Obtains the baseline, which never tries again.
     *
     * @return the policy, not null
     */
    static RetryPolicy never() {
        return failure -> Optional.empty();
    }

    /**
     * Obtains the policy that tries again within a budget.
     *
     * @param budget the budget, shared by all requests of the process, not null
     * @param backoff the delays, not null
     * @param maximumTries the most tries of one request, at least 1
     * @param random the source of chance, safe for use by several threads, not null
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
            if (delay.compareTo(failure.timeToDeadline()) >= 0 || !budget.tryRetry()) {
                return Optional.empty();
            }
            return Optional.of(delay);
        };
    }
}
