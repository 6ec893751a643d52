package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.TargetId;

/**
 * A companion's status report on its target.
 *
 * <p>Invariant: counts are not negative. A complete report replaces the known set of resident adapters; any other is a
 * delta, in which {@code resident} was added and {@code removed} was removed since the previous report. Immutable and
 * safe for use by several threads.
 *
 * @param target the target
 * @param sequence the report's number, increasing within an incarnation of the companion
 * @param engineIncarnation the engine's incarnation, which changes at each start of the engine
 * @param running the number of requests that the target is running
 * @param queued the number of requests that wait at the companion
 * @param queuedTokens the tokens that the waiting requests need
 * @param concurrencyLimit the maximum number of requests that run concurrently
 * @param slots the number of adapters that the target can hold
 * @param complete whether {@code resident} lists all resident adapters
 * @param resident the resident adapters, or those added since the previous report
 * @param removed the adapters removed since the previous report; empty if complete
 * @param loading all adapters that are loading or waiting to be loaded, even in a delta
 * @param draining whether the target accepts no new requests
 * @param tokensPerSecond the target's recent throughput, 0 if unknown
 */
public record TargetStatus(
        TargetId target,
        long sequence,
        long engineIncarnation,
        int running,
        int queued,
        long queuedTokens,
        int concurrencyLimit,
        int slots,
        boolean complete,
        Set<AdapterReference> resident,
        Set<AdapterReference> removed,
        Set<AdapterReference> loading,
        boolean draining,
        double tokensPerSecond) {

    public TargetStatus {
        Objects.requireNonNull(target, "target");
        if (running < 0 || queued < 0 || queuedTokens < 0 || concurrencyLimit < 0 || slots < 0) {
            throw new IllegalArgumentException("negative count in the status of " + target);
        }
        resident = Set.copyOf(resident);
        removed = Set.copyOf(removed);
        loading = Set.copyOf(loading);
    }
}
