package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.limit.RequestRate;

/**
 * What an answer of a target says of the target itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestLimit the requests that the target takes from all entries together, empty if the answer names no limit
 * @param rest the time for which the target wants nothing from this entry, empty if the answer names none
 * @param leaving whether the target says that it is about to end
 * @param fromExecutedRequest whether the target ran a caller's request; other answers may leave out a limit that is still in force
 * @param slowdown how much slower than usual the target is, empty if the answer does not report it
 */
public record TargetSignals(
        Optional<RequestRate> requestLimit,
        Optional<Duration> rest,
        boolean leaving,
        boolean fromExecutedRequest,
        Optional<Slowdown> slowdown) {

    public TargetSignals {
        Objects.requireNonNull(requestLimit, "requestLimit");
        Objects.requireNonNull(rest, "rest");
        Objects.requireNonNull(slowdown, "slowdown");
    }

    /**
     * Creates signals without a slowdown.
     *
     * @param requestLimit the requests that the target takes from all entries together, empty if the answer names no limit, not null
     * @param rest the time for which the target wants nothing from this entry, empty if the answer names none, not null
     * @param leaving whether the target says that it is about to end
     * @param fromExecutedRequest whether the target ran a caller's request
     */
    public TargetSignals(
            Optional<RequestRate> requestLimit, Optional<Duration> rest, boolean leaving, boolean fromExecutedRequest) {
        this(requestLimit, rest, leaving, fromExecutedRequest, Optional.empty());
    }
}
