package org.geraniumreach.httpclient;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Receives the heads of responses that are not to the call that waits, or that no call waits for.
 *
 * <p>Called on the event loop.
 */
@FunctionalInterface
public interface SurplusResponseListener {

    /**
     * Called when the head of a surplus response has come.
     *
     * @param response the response, not null
     */
    void onSurplusResponse(SurplusResponse response);

    /**
     * A surplus response.
     *
     * @param address the server's address, not null
     * @param connection the number of the connection
     * @param head the head, not null
     * @param earlierCalls finds a call that the connection has carried before by its id, to be used during the notification only, not null
     */
    record SurplusResponse(
            InetSocketAddress address,
            long connection,
            HttpResponseHead head,
            Function<String, Optional<EarlierCall>> earlierCalls) {

        public SurplusResponse {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(head, "head");
            Objects.requireNonNull(earlierCalls, "earlierCalls");
        }
    }
}
