package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * A target as an entry sees it at one moment.
 *
 * <p>Invariant: {@link #load} counts each request once: those that the last report told of, and one's own sends that the
 * report cannot have held yet. Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param instance the instance of its companion
 * @param failureDomain where it is
 * @param offering what it offers
 * @param slots the adapters that it can hold
 * @param running the requests that it was running at its last report
 * @param queued the requests that waited at its companion at its last report
 * @param unreported this entry's sends that the last report does not hold, less its ends since
 * @param concurrencyLimit the requests that it is given at once, at least 1
 * @param resident the adapters that it holds
 * @param loading the adapters that it loads or waits to load
 * @param reportAgeNanos the age of the last report, or {@link Long#MAX_VALUE} if there is none
 * @param draining whether it takes no new work
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
     * Gets the requests running or waiting at the target, as far as known.
     *
     * @return the number, not negative
     */
    public int load() {
        return Math.max(0, running + queued + unreported);
    }

    /**
     * Gets the load in parts of what the target is given at once.
     *
     * @return the relative load; above 1, requests wait
     */
    public double relativeLoad() {
        return (double) load() / concurrencyLimit;
    }
}
