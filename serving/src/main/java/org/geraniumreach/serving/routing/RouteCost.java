package org.geraniumreach.serving.routing;

import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * What it costs to send a request to a target, in nanoseconds of somebody's waiting.
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

    /** The loads that matter to a request. */
    record LoadContext(Optional<AdapterReference> adapter, int pendingLoads, int holders) {}

    /**
     * Works out the cost, to the request and to others.
     *
     * @param target the target
     * @param loads the loads that matter
     * @return the cost in nanoseconds
     */
    double totalNanos(TrackedTarget target, LoadContext loads) {
        return waitNanos(target, loads)
                + crowdingNanos(target)
                + displacementNanos(target, loads)
                + crossDomainNanos(target);
    }

    /**
     * Estimates how long a request waits at a target before it runs.
     *
     * @param target the target
     * @param loads the loads that matter
     * @return the wait in nanoseconds
     */
    double waitNanos(TrackedTarget target, LoadContext loads) {
        return Math.max(queueNanos(target), loadNanos(target, loads));
    }

    /*
     * A bound on the load alone would be passed by every target once the fleet is full, and requests be spread over targets
     * that are no better.
     */
    boolean isCrowded(TrackedTarget target, double meanRelativeLoad) {
        return target.relativeLoad() >= Math.max(1, weights.loadBound() * meanRelativeLoad);
    }

    private double queueNanos(TrackedTarget target) {
        return serviceTimeNanos * Math.max(0, target.relativeLoad() - 1);
    }

    private double loadNanos(TrackedTarget target, LoadContext loads) {
        if (loads.adapter().isEmpty()) {
            return 0;
        }
        TrackedTarget.Report report = target.report();
        if (report.resident().contains(loads.adapter().get())) {
            return 0;
        }
        double load = Math.max(
                loadTimeNanos * Math.max(1, (loads.pendingLoads() + 1.0) / weights.loadsAtFullSpeed()),
                1e9 * (loads.pendingLoads() + 1) / weights.storeLoadsPerSecond());
        return report.loading().contains(loads.adapter().get()) ? load / 2 : load;
    }

    private double displacementNanos(TrackedTarget target, LoadContext loads) {
        if (loads.adapter().isEmpty() || loads.holders() == 0) {
            return 0;
        }
        boolean there = target.report().resident().contains(loads.adapter().get());
        return there ? 0 : weights.replicaCost() * loadTimeNanos;
    }

    private double crowdingNanos(TrackedTarget target) {
        return weights.crowding() * serviceTimeNanos * target.relativeLoad();
    }

    private double crossDomainNanos(TrackedTarget target) {
        boolean near = settings.failureDomain()
                .map(domain -> domain.equals(target.failureDomain()))
                .orElse(true);
        return near ? 0 : weights.domainCost().toNanos();
    }
}
