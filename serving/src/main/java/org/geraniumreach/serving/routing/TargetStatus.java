package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.TargetId;

/**
 * A companion's news of its target.
 *
 * <p>Invariant: counts are not negative. A complete one replaces all that was known of residency; else {@code resident} was
 * added and {@code removed} taken away since the one before. Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param sequence the companion's number for it, rising within an incarnation of the companion
 * @param engineIncarnation a new number at each start of the engine
 * @param running the requests that the target is running
 * @param queued the requests that wait at the companion
 * @param queuedTokens the tokens that these need
 * @param concurrencyLimit the requests that the target is given at once
 * @param slots the adapters that the target can hold
 * @param complete whether {@code resident} holds all
 * @param resident the adapters held, or added
 * @param removed the adapters taken away; empty if complete
 * @param loading the adapters in transit or waiting to be loaded, all of them
 * @param draining whether the target takes no new work
 * @param tokensPerSecond the rate at which the target has lately worked, 0 if not known
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
