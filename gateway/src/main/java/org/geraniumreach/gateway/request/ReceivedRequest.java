package org.geraniumreach.gateway.request;

import java.util.Objects;

import org.geraniumreach.gateway.port.CallerAnswer;

/**
 * A request as it came in.
 *
 * <p>Immutable; the answer is confined to the event loop.
 *
 * @param request the request
 * @param answer where its answer goes
 * @param receivedAt when it came, in nanoseconds of the steady clock; its caller's time runs from then
 */
record ReceivedRequest(GatewayRequest request, CallerAnswer answer, long receivedAt) {

    ReceivedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(answer, "answer");
    }
}
