package org.geraniumreach.gateway.crash;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;

/**
 * The end of a target while requests with a suspect had not been answered there.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param run the incarnation of the target
 * @param at the time of the end on this entry's clock, in nanoseconds
 * @param sentAt when the first of the requests was sent there, in nanoseconds
 * @param requests the requests with the suspect that were sent there, by the hash of their identity
 */
public record TargetEnd(TargetRun run, long at, long sentAt, Set<Long> requests) {

    /** Further requests prove nothing more. */
    private static final int MAXIMUM_REQUESTS = 8;

    public TargetEnd {
        Objects.requireNonNull(run, "run");
        requests = Set.copyOf(requests);
    }

    /** Joins what two entries know of the same end. */
    TargetEnd merge(TargetEnd other) {
        Set<Long> joined = new HashSet<>(requests);
        other.requests.stream()
                .filter(request -> joined.size() < MAXIMUM_REQUESTS)
                .forEach(joined::add);
        return new TargetEnd(run, Math.min(at, other.at), Math.min(sentAt, other.sentAt), joined);
    }
}
