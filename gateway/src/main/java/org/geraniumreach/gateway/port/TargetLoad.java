package org.geraniumreach.gateway.port;

import java.util.Objects;
import java.util.Optional;

/**
 * The load of a target as reported in an answer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestCounts the reported numbers, empty if the answer reports none
 * @param slowdown how much slower than usual the target is, empty if the answer does not report it
 */
public record TargetLoad(Optional<RequestCounts> requestCounts, Optional<Slowdown> slowdown) {

    public TargetLoad {
        Objects.requireNonNull(requestCounts, "requestCounts");
        Objects.requireNonNull(slowdown, "slowdown");
    }

    /**
     * Creates a load without a slowdown.
     *
     * @param requestCounts the reported numbers, empty if the answer reports none, not null
     */
    public TargetLoad(Optional<RequestCounts> requestCounts) {
        this(requestCounts, Optional.empty());
    }

    /**
     * The numbers of requests at a target.
     *
     * @param running the number of running requests
     * @param waiting the number of waiting requests
     */
    public record RequestCounts(int running, int waiting) {}
}
