package org.geraniumreach.httpclient;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * How a call reuses connections.
 *
 * <p>Immutable.
 *
 * @param maxIdleTime the longest time for which a reused connection may have been idle, zero to open a new one, not null
 * @param maxIdleConnections supplies the number of idle connections to keep to the call's address, not negative, on the event loop, not null
 * @param matching how the response is matched to the call, not null
 */
public record ConnectionReuse(Duration maxIdleTime, IntSupplier maxIdleConnections, ResponseMatching matching) {

    public ConnectionReuse {
        Objects.requireNonNull(maxIdleTime, "maxIdleTime");
        Objects.requireNonNull(maxIdleConnections, "maxIdleConnections");
        Objects.requireNonNull(matching, "matching");
    }

    boolean isAllowed() {
        return !maxIdleTime.isZero();
    }

    /**
     * Reuses connections of which any number may be kept, to a server that sends exactly one response to each call.
     *
     * @param maxIdleTime the longest time for which a reused connection may have been idle, not null
     * @return the reuse, not null
     */
    public static ConnectionReuse upTo(Duration maxIdleTime) {
        return new ConnectionReuse(maxIdleTime, () -> Integer.MAX_VALUE, ResponseMatching.BY_ORDER);
    }
}
