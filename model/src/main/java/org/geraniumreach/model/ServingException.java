package org.geraniumreach.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A request that ends with a result code other than OK.
 *
 * <p>Invariant: {@link Ran#NO} is carried only where the thrower can show it. The message never holds a key, a
 * credential or a prompt. Immutable.
 */
public final class ServingException extends Exception {

    private final ResultCode code;
    private final Ran executionStatus;
    private final Duration retryAfter;

    private ServingException(ResultCode code, Ran ran, String message, Duration retryAfter, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
        this.executionStatus = Objects.requireNonNull(ran, "ran");
        this.retryAfter = retryAfter;
    }

    /**
     * Makes a refusal of a request that has not run and never will.
     *
     * @param code the result, not null
     * @param message what is wrong, naming the bad value, not null
     * @return the exception, not null
     */
    public static ServingException notRun(ResultCode code, String message) {
        return new ServingException(code, Ran.NO, message, null, null);
    }

    /**
     * Makes a failure with what is known of whether the request ran.
     *
     * @param code the result, not null
     * @param ran whether it ran, not null
     * @param message what went wrong, not null
     * @return the exception, not null
     */
    public static ServingException of(ResultCode code, Ran ran, String message) {
        return new ServingException(code, ran, message, null, null);
    }

    /**
     * Gets a copy that tells the caller when to come back.
     *
     * @param delay the time from now, not null
     * @return the copy, not null
     */
    public ServingException withRetryAfter(Duration delay) {
        return new ServingException(
                code, executionStatus, getMessage(), Objects.requireNonNull(delay, "delay"), getCause());
    }

    /**
     * Gets a copy with what else is known of whether the request ran.
     *
     * @param known whether it ran, not null
     * @return the copy, not null
     */
    public ServingException withRan(Ran known) {
        return new ServingException(code, known, getMessage(), retryAfter, getCause());
    }

    /**
     * Gets a copy with the failure that led to this one.
     *
     * @param cause the failure, not null
     * @return the copy, not null
     */
    public ServingException withCause(Throwable cause) {
        return new ServingException(code, executionStatus, getMessage(), retryAfter, cause);
    }

    public ResultCode code() {
        return code;
    }

    public Ran ran() {
        return executionStatus;
    }

    /**
     * Gets when the caller may come back.
     *
     * @return the time from now, or empty if coming back would not help
     */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
