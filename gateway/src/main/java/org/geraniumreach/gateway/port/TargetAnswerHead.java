package org.geraniumreach.gateway.port;

import java.util.List;
import java.util.Objects;

import org.geraniumreach.model.Header;

/**
 * The head of a target's answer, as it is passed on.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the status
 * @param headers the headers that go to the caller
 * @param eventStream whether the body is a stream of events
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
     * @return true for a status from 500
     */
    public boolean isServerFault() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }
}
