package org.geraniumreach.gateway.request;

import java.util.Objects;

import org.geraniumreach.gateway.port.CallerAnswer;

/**
 * A request together with its answer and time of receipt.
 *
 * <p>Immutable; the answer is confined to the event loop.
 *
 * @param request the request
 * @param answer the answer to write to
 * @param receivedAt the time of receipt by the monotonic clock, in nanoseconds, from which the caller's timeout runs
 */
record ReceivedRequest(GatewayRequest request, CallerAnswer answer, long receivedAt) {

    ReceivedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(answer, "answer");
    }
}
