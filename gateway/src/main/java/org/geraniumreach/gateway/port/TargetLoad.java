package org.geraniumreach.gateway.port;

import java.util.Optional;

/**
 * The load of a target as reported in an answer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestCounts the reported numbers, empty if the answer reports none
 */
public record TargetLoad(Optional<RequestCounts> requestCounts) {

    /**
     * The numbers of requests at a target.
     *
     * @param running the number of running requests
     * @param waiting the number of waiting requests
     */
    public record RequestCounts(int running, int waiting) {}
}
