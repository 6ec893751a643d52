package org.geraniumreach.gateway.port;

import java.util.List;
import java.util.Objects;

import org.geraniumreach.model.Header;

/**
 * The status and headers of a target's answer, as relayed to the caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param headers the headers to relay to the caller
 * @param eventStream whether the body is an event stream
 */
public record TargetAnswerHead(int status, List<Header> headers, boolean eventStream) {

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    public TargetAnswerHead {
        headers = List.copyOf(Objects.requireNonNull(headers, "headers"));
    }

    /**
     * Queries whether the request succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
    }

    /**
     * Queries whether the target failed.
     *
     * @return true for a status of 500 or above
     */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }
}
