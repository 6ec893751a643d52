package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size and duration of callers' requests.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxHeaderBytes the maximum size of a request's head, at least 1
 * @param maxBodyBytes the maximum size of a body
 * @param headerTimeout how long a head may take to arrive
 * @param idleTimeout how long a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    public CallerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        if (maxHeaderBytes < 1 || maxBodyBytes < 0) {
            throw new IllegalArgumentException("limits not above zero: " + maxHeaderBytes + ", " + maxBodyBytes);
        }
    }
}
