package org.geraniumreach.gateway.port;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An answer of a target that came where none or another one was expected.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestId the id of the request that it answers, not null
 * @param address the address of the target, not null
 * @param connection the number of the connection
 * @param status the status
 * @param rejection whether it says that the request was not executed
 * @param age the time since the request was answered on this connection, empty if it was not carried there or too long ago, not null
 * @param countedAsRejected whether that answer counted as a rejection
 */
public record SurplusAnswer(
        String requestId,
        InetSocketAddress address,
        long connection,
        int status,
        boolean rejection,
        Optional<Duration> age,
        boolean countedAsRejected) {

    public SurplusAnswer {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(age, "age");
    }

    /**
     * Queries whether the answer proves that a target has run a request that counts as rejected.
     *
     * @return true if the request was written again, or refused as not run, although it has run
     */
    public boolean provesRunOfRejectedRequest() {
        return countedAsRejected && !rejection;
    }
}
