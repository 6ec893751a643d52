package org.geraniumreach.serving.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.AdapterReference;

/**
 * Limits how many targets may hold an adapter, according to its share of the requests and the fleet's load.
 *
 * <p>Without the limit, any difference between two busy targets would look worth a replica. Each replica costs a load
 * and takes a slot from another adapter, which must then be loaded again, until the weight store is the bottleneck.
 * Safe for use by several threads.
 */
final class ReplicaLimit {

    private static final Duration DEMAND_HALF_LIFE = Duration.ofSeconds(60);
    private static final long TOTALS_VALID_NANOS = Duration.ofMillis(100).toNanos();

    private final FleetView fleet;
    private final double replicaFill;
    private final DemandMeter demand;
    private final Map<Offering, LoadTotals> totalsByOffering = new ConcurrentHashMap<>();

    ReplicaLimit(FleetView fleet, double replicaFill, int rememberedAdapters) {
        this.fleet = fleet;
        this.replicaFill = replicaFill;
        this.demand = new DemandMeter(DEMAND_HALF_LIFE.toNanos(), rememberedAdapters);
    }

    /** The total load and concurrency limit of an offering's targets. */
    record LoadTotals(long computedNanos, double load, double limit, int targets) {

        double meanRelativeLoad() {
            return limit == 0 ? 0 : load / limit;
        }
    }

    /**
     * Records a request and computes how many targets may hold its adapter.
     *
     * @param adapter the adapter
     * @param offeringTotals the load totals of its offering
     * @return the number of targets, at least 1
     */
    int allowedHolders(AdapterReference adapter, LoadTotals offeringTotals) {
        double share = demand.recordRequest(adapter, fleet.nowNanos());
        if (offeringTotals.targets == 0 || offeringTotals.limit == 0) {
            return 1;
        }
        double running = share * Math.min(offeringTotals.load, offeringTotals.limit);
        double runningPerTarget = replicaFill * offeringTotals.limit / offeringTotals.targets;
        return Math.max(1, (int) Math.ceil(running / runningPerTarget));
    }

    LoadTotals totals(Offering offering) {
        LoadTotals cached = totalsByOffering.get(offering);
        long now = fleet.nowNanos();
        if (cached != null && now - cached.computedNanos < TOTALS_VALID_NANOS) {
            return cached;
        }
        double load = 0;
        double limit = 0;
        TrackedTarget[] targets = fleet.members(offering).targets();
        for (TrackedTarget target : targets) {
            load += target.relativeLoad() * target.concurrencyLimit();
            limit += target.concurrencyLimit();
        }
        LoadTotals fresh = new LoadTotals(now, load, limit, targets.length);
        totalsByOffering.put(offering, fresh);
        return fresh;
    }
}
