package org.geraniumreach.httpclient;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * How a call reuses connections.
 *
 * <p>Immutable.
 *
 * @param maxIdleTime the longest time for which a reused connection may have been idle, zero to open a new one, not null
 * @param maxIdleConnections supplies the number of idle connections to keep to the call's address, not negative, on the event loop, not null
 * @param matching how the response is matched to the call, not null
 * @param callId what names the call in its response, empty if nothing does, not null
 */
public record ConnectionReuse(
        Duration maxIdleTime, IntSupplier maxIdleConnections, ResponseMatching matching, Optional<String> callId) {

    public ConnectionReuse {
        Objects.requireNonNull(maxIdleTime, "maxIdleTime");
        Objects.requireNonNull(maxIdleConnections, "maxIdleConnections");
        Objects.requireNonNull(matching, "matching");
        Objects.requireNonNull(callId, "callId");
    }

    /**
     * Creates the reuse of a call that nothing names in its response.
     *
     * @param maxIdleTime the longest time for which a reused connection may have been idle, zero to open a new one, not null
     * @param maxIdleConnections supplies the number of idle connections to keep to the call's address, not negative, not null
     * @param matching how the response is matched to the call, not null
     */
    public ConnectionReuse(Duration maxIdleTime, IntSupplier maxIdleConnections, ResponseMatching matching) {
        this(maxIdleTime, maxIdleConnections, matching, Optional.empty());
    }

    /**
     * Creates the reuse of a call whose response names it.
     *
     * @param id what names the call in its response, not null
     * @return the reuse, not null
     */
    public ConnectionReuse withCallId(String id) {
        return new ConnectionReuse(maxIdleTime, maxIdleConnections, matching, Optional.of(id));
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
