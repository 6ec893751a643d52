package org.geraniumreach.gateway.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.model.Header;
import org.geraniumreach.model.ResultCode;

/**
 * An error answer that the entry generates itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code the result code
 * @param message the message for the caller
 * @param retryAfter the delay after which to retry, empty to send no Retry-After header
 */
public record Refusal(ResultCode code, String message, Optional<Duration> retryAfter) {

    /** The delay after which callers retry if nothing is known about when it would help. */
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(700);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);
    private static final double NANOS_PER_SECOND = 1e9;

    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Obtains a refusal without a retry delay.
     *
     * @param code the result code, not null
     * @param message the message for the caller, not null
     * @return the refusal, not null
     */
    public static Refusal of(ResultCode code, String message) {
        return new Refusal(code, message, Optional.empty());
    }

    /**
     * Obtains a refusal with a retry delay.
     *
     * @param code the result code, not null
     * @param message the message for the caller, not null
     * @param delay the delay after which to retry, raised to the minimum if it is shorter, not null
     * @return the refusal, not null
     */
    public static Refusal withRetryAfter(ResultCode code, String message, Duration delay) {
        return new Refusal(
                code, message, Optional.of(delay.compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : delay));
    }

    /**
     * Sends the refusal as a complete answer.
     *
     * @param answer the answer to write to, not null
     */
    public void send(CallerAnswer answer) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Content-Type", "application/json"));
        retryAfter.ifPresent(delay -> headers.add(
                new Header("Retry-After", String.format(Locale.ROOT, "%.2f", delay.toNanos() / NANOS_PER_SECOND))));
        String body = String.format("{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\"}", code.number(), code, message);
        answer.writeHead(code.httpStatus(), headers);
        answer.writePart(body.getBytes(StandardCharsets.UTF_8));
        answer.end();
    }
}
