package org.geraniumreach.serving.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.AdapterReference;

/**
 * Works out how many targets an adapter may be held by, from its part of the requests and from how busy the fleet is.
 *
 * <p>Without it, when all targets are busy any difference between two of them looks worth a replica. Each replica is a load
 * and takes a slot from another adapter, which then has to be loaded again, until the weight store is all that anybody
 * waits for. Safe for use by several threads.
 */
final class ReplicaLimit {

    private static final Duration DEMAND_HALF_LIFE = Duration.ofSeconds(60);
    private static final long TOTALS_VALID_NANOS = Duration.ofMillis(100).toNanos();

    private final FleetView fleet;
    private final double replicaFill;
    private final DemandMeter demand;
    private final Map<Offering, LoadTotals> totalsByOffering = new ConcurrentHashMap<>();

    ReplicaLimit(FleetView fleet, double fill, int rememberedAdapters) {
        this.fleet = fleet;
        this.replicaFill = fill;
        this.demand = new DemandMeter(DEMAND_HALF_LIFE.toNanos(), rememberedAdapters);
    }

    /** The load and limits of all targets of an offering together. */
    record LoadTotals(long computedNanos, double load, double limit, int targets) {

        double meanRelativeLoad() {
            return limit == 0 ? 0 : load / limit;
        }
    }

    /**
     * Counts a request and works out how many targets may hold its adapter.
     *
     * @param adapter the adapter
     * @param sums the totals of its offering
     * @return the number, at least 1
     */
    int allowedHolders(AdapterReference adapter, LoadTotals sums) {
        double part = demand.recordRequest(adapter, fleet.nowNanos());
        if (sums.targets == 0 || sums.limit == 0) {
            return 1;
        }
        double running = part * Math.min(sums.load, sums.limit);
        double perTarget = replicaFill * sums.limit / sums.targets;
        return Math.max(1, (int) Math.ceil(running / perTarget));
    }

    LoadTotals totals(Offering offering) {
        LoadTotals known = totalsByOffering.get(offering);
        long now = fleet.nowNanos();
        if (known != null && now - known.computedNanos < TOTALS_VALID_NANOS) {
            return known;
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
