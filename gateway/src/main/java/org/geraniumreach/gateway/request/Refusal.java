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
 * An answer that the entry gives itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code the numbered code
 * @param message what happened
 * @param retryAfter when to come back, empty where that says nothing
 */
public record Refusal(ResultCode code, String message, Optional<Duration> retryAfter) {

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);
    private static final double NANOS_PER_SECOND = 1e9;

    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Obtains a refusal that says nothing of coming back.
     *
     * @param code the code, not null
     * @param message what happened, not null
     * @return the refusal, not null
     */
    public static Refusal of(ResultCode code, String message) {
        return new Refusal(code, message, Optional.empty());
    }

    /**
     * Obtains a refusal that says when to come back.
     *
     * @param code the code, not null
     * @param message what happened, not null
     * @param after when to come back, not null
     * @return the refusal, not null
     */
    public static Refusal withRetryAfter(ResultCode code, String message, Duration after) {
        return new Refusal(
                code, message, Optional.of(after.compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : after));
    }

    /**
     * Sends the refusal as a whole answer.
     *
     * @param answer where to, not null
     */
    public void send(CallerAnswer answer) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Content-Type", "application/json"));
        retryAfter.ifPresent(after -> headers.add(
                new Header("Retry-After", String.format(Locale.ROOT, "%.2f", after.toNanos() / NANOS_PER_SECOND))));
        String body = String.format("{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\"}", code.number(), code, message);
        answer.head(code.httpStatus(), headers);
        answer.part(body.getBytes(StandardCharsets.UTF_8));
        answer.end();
    }
}
