package org.geraniumreach.serving.routing;

import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * The cost of sending a request to a target, in nanoseconds of waiting for this request or for others.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class RouteCost {

    private final RouterSettings settings;
    private final RoutingWeights weights;
    private final double loadTimeNanos;
    private final double serviceTimeNanos;

    RouteCost(RouterSettings settings) {
        this.settings = settings;
        this.weights = settings.weights();
        this.loadTimeNanos = weights.loadTime().toNanos();
        this.serviceTimeNanos = weights.serviceTime().toNanos();
    }

    /** The request's adapter, the loads pending fleet-wide and the number of targets that hold the adapter. */
    record LoadContext(Optional<AdapterReference> adapter, int pendingLoads, int holders) {}

    /**
     * Computes the total cost to the request and to others.
     *
     * @param target the target
     * @param loadContext the adapter and the loads that affect it
     * @return the cost in nanoseconds
     */
    double totalNanos(TrackedTarget target, LoadContext loadContext) {
        return waitNanos(target, loadContext)
                + crowdingNanos(target)
                + displacementNanos(target, loadContext)
                + crossDomainNanos(target);
    }

    /**
     * Estimates how long a request waits at a target before it runs.
     *
     * @param target the target
     * @param loadContext the adapter and the loads that affect it
     * @return the wait in nanoseconds
     */
    double waitNanos(TrackedTarget target, LoadContext loadContext) {
        return Math.max(queueNanos(target), loadNanos(target, loadContext));
    }

    /*
     * Compares with the mean load, since once the fleet is full every target would exceed a fixed bound, and requests
     * would be spread over targets that are no better.
     */
    boolean isCrowded(TrackedTarget target, double meanRelativeLoad) {
        return target.relativeLoad() >= Math.max(1, weights.loadBound() * meanRelativeLoad);
    }

    private double queueNanos(TrackedTarget target) {
        return serviceTimeNanos * Math.max(0, target.relativeLoad() - 1);
    }

    private double loadNanos(TrackedTarget target, LoadContext loadContext) {
        if (loadContext.adapter().isEmpty()) {
            return 0;
        }
        TrackedTarget.Report report = target.report();
        if (report.resident().contains(loadContext.adapter().get())) {
            return 0;
        }
        double loadNanos = Math.max(
                loadTimeNanos * Math.max(1, (loadContext.pendingLoads() + 1.0) / weights.loadsAtFullSpeed()),
                1e9 * (loadContext.pendingLoads() + 1) / weights.storeLoadsPerSecond());
        return report.loading().contains(loadContext.adapter().get()) ? loadNanos / 2 : loadNanos;
    }

    private double displacementNanos(TrackedTarget target, LoadContext loadContext) {
        if (loadContext.adapter().isEmpty() || loadContext.holders() == 0) {
            return 0;
        }
        boolean resident =
                target.report().resident().contains(loadContext.adapter().get());
        return resident ? 0 : weights.replicaCost() * loadTimeNanos;
    }

    private double crowdingNanos(TrackedTarget target) {
        return weights.crowding() * serviceTimeNanos * target.relativeLoad();
    }

    private double crossDomainNanos(TrackedTarget target) {
        boolean sameDomain = settings.failureDomain()
                .map(domain -> domain.equals(target.failureDomain()))
                .orElse(true);
        return sameDomain ? 0 : weights.domainCost().toNanos();
    }
}
