package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.port.CallerAnswer;

/**
 * A request together with its answer and the times of its receipt.
 *
 * <p>Immutable; the answer is confined to the event loop.
 *
 * @param request the request
 * @param arrival when the request came
 * @param answer the answer to write to
 * @param takenAt the time at which the event loop took the request up, in nanoseconds of the monotonic clock
 */
record ReceivedRequest(GatewayRequest request, Arrival arrival, CallerAnswer answer, long takenAt) {

    ReceivedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(arrival, "arrival");
        Objects.requireNonNull(answer, "answer");
    }

    /** Gets what is left of a time that began when the request can have come, not positive if nothing is left. */
    Duration left(Duration limit, long now) {
        return limit.minus(arrival.age(now));
    }
}
