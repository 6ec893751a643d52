package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * A snapshot of an entry's view of a target.
 *
 * <p>Invariant: {@link #load} counts each request once: those in the last report, and this entry's requests that the
 * report cannot include yet. Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param instance its companion's instance
 * @param failureDomain its failure domain
 * @param offering its base model or service
 * @param slots the number of adapters that it can hold
 * @param running the number of requests running, according to its last report
 * @param queued the number of requests waiting at its companion, according to its last report
 * @param unreported the number of this entry's requests sent but not in the last report, less those ended since
 * @param concurrencyLimit the maximum number of requests that run concurrently, at least 1
 * @param resident the resident adapters
 * @param loading the adapters that are loading or waiting to be loaded
 * @param reportAgeNanos the age of the last report, or {@link Long#MAX_VALUE} if there is none
 * @param draining whether it accepts no new requests
 */
public record TargetView(
        TargetId target,
        InstanceId instance,
        FailureDomain failureDomain,
        Offering offering,
        int slots,
        int running,
        int queued,
        int unreported,
        int concurrencyLimit,
        Set<AdapterReference> resident,
        Set<AdapterReference> loading,
        long reportAgeNanos,
        boolean draining) {

    public TargetView {
        Objects.requireNonNull(target, "target");
        if (concurrencyLimit < 1) {
            throw new IllegalArgumentException("concurrency limit below 1: " + concurrencyLimit);
        }
    }

    /**
     * Gets the known number of requests running or waiting at the target.
     *
     * @return the number, not negative
     */
    public int load() {
        return Math.max(0, running + queued + unreported);
    }

    /**
     * Gets the load as a share of the concurrency limit.
     *
     * @return the relative load; above 1, requests wait
     */
    public double relativeLoad() {
        return (double) load() / concurrencyLimit;
    }
}
