package org.geraniumreach.daemon.http;

import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.ServingException;

/**
 * Formats errors as JSON bodies.
 *
 * <p>The format is OpenAI-compatible, with the number of the result code and whether the request ran added. Stateless
 * and safe for use by several threads.
 */
public final class ErrorBody {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    /**
     * Gets the body for a failure.
     *
     * @param failure the failure, not null
     * @return the JSON object, not null
     */
    public static ObjectNode of(ServingException failure) {
        ObjectNode body = MAPPER.createObjectNode();
        ObjectNode error = body.putObject("error");
        error.put("code", failure.code().number());
        error.put("name", failure.code().name());
        error.put("type", failure.code().name().toLowerCase(Locale.ROOT));
        error.put("message", failure.getMessage());
        error.put("ran", failure.executionStatus().name().toLowerCase(Locale.ROOT));
        failure.retryAfter().ifPresent(delay -> error.put("retry_after_ms", delay.toMillis()));
        return body;
    }

    /**
     * Gets the value of the Retry-After header for a delay: whole seconds, rounded up so that no caller retries too
     * early.
     *
     * @param delay the delay, not null
     * @return the seconds, at least 1
     */
    static long retryAfterSeconds(Duration delay) {
        return Math.max(1, delay.plusMillis(999).toSeconds());
    }
}
