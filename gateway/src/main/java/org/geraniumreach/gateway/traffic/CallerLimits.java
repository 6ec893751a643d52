package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller may send, and how long it may take.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param headerBytes the greatest size of a request's head
 * @param bodyBytes the greatest size of a body
 * @param headTime how long a head may take to arrive
 * @param idleTime how long a connection may be without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headTime, Duration idleTime) {

    public CallerLimits {
        Objects.requireNonNull(headTime, "headTime");
        Objects.requireNonNull(idleTime, "idleTime");
        if (headerBytes < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException("limits not above zero: " + headerBytes + ", " + bodyBytes);
        }
    }
}
