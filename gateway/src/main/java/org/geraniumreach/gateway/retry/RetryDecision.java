package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * The decision on a retry, with the figures that led to it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result whether the retry is granted, and if not, why
 * @param requests the requests of the service that this entry received within the window
 * @param retries the retries of this entry that may have arrived within the window, but not later
 * @param unresolvedRetries the retries of this entry that may still arrive
 * @param extraRetries this entry's part of the retries that are allowed regardless of requests
 * @param remaining the remaining time of the request
 * @param needed the time that the target is expected to need
 */
public record RetryDecision(
        Result result,
        int requests,
        int retries,
        int unresolvedRetries,
        int extraRetries,
        Duration remaining,
        Duration needed) {

    /** The result of a decision. */
    public enum Result {
        /** The request may be sent once more. */
        GRANTED,
        /** The retries of the window are used up. */
        NO_BUDGET,
        /** The target is expected to need more time than the request has left. */
        NO_TIME
    }

    public RetryDecision {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(remaining, "remaining");
        Objects.requireNonNull(needed, "needed");
    }

    /**
     * Queries whether the retry is granted.
     *
     * @return true if the request may be sent once more
     */
    public boolean granted() {
        return result == Result.GRANTED;
    }
}
