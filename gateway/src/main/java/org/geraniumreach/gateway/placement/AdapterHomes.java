package org.geraniumreach.gateway.placement;

import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.MonotonicClock;

/**
 * Computes at how many targets an adapter should be resident.
 *
 * <p>Intended for adapters of which one may receive a fifth of all requests, more than one target can prefill without stalling its streams. The share
 * of time that one home spends on an adapter depends on the utilization of all targets: under light load a second home wastes a load and a slot;
 * under heavy load it prevents stalls of the home's other streams. Each home counts with its relative rate. Invariant: a momentary slowdown does not
 * change the homes. Confined to the event loop.
 */
final class AdapterHomes {

    private final AdapterDemand demand;
    private final IntSupplier entryCount;
    private final TargetSpeeds speeds;
    private final PlacementSettings settings;
    private final MonotonicClock clock;

    /**
     * The homes of one adapter.
     *
     * @param targets the homes in their order
     * @param neededRate the sum of relative rates that the adapter needs, at most that of the homes
     */
    record Homes(List<Target> targets, double neededRate) {}

    AdapterHomes(IntSupplier entryCount, TargetSpeeds speeds, PlacementSettings settings, MonotonicClock clock) {
        this.entryCount = Objects.requireNonNull(entryCount, "entryCount");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.demand = new AdapterDemand(clock.nanos());
    }

    void recordRequest(AdapterName adapter, long promptTokens) {
        demand.recordRequest(adapter, promptTokens, clock.nanos());
    }

    /** Finds the first targets of an order that together have the rate that the adapter needs; the first is always a home. */
    Homes find(PlacementRequest request, List<Target> order, double tokensPerSecond) {
        double needed = neededRate(request, order, tokensPerSecond);
        int count = 0;
        double rate = 0;
        while (count < order.size() && (count == 0 || rate < needed)) {
            rate += relativeRate(order.get(count));
            count++;
        }
        return new Homes(order.subList(0, count), Math.min(needed, rate));
    }

    /** Queries whether targets that hold the adapter suffice, even if they are not its homes. */
    boolean suffice(List<Target> residents, Homes homes) {
        return totalRate(residents) >= homes.neededRate();
    }

    private double neededRate(PlacementRequest request, List<Target> order, double tokensPerSecond) {
        long now = clock.nanos();
        int entries = Math.max(1, entryCount.getAsInt());
        double utilization = demand.totalTokensPerSecond(now) * entries / (tokensPerSecond * totalRate(order));
        double share = settings.prefillShare().at(utilization);
        double demandPerEntry = demand.otherTokensPerSecond(request.adapter().get(), request.promptTokens(), now);
        return demandPerEntry * entries / (tokensPerSecond * share);
    }

    private double totalRate(List<Target> targets) {
        double total = 0;
        for (Target target : targets) {
            total += relativeRate(target);
        }
        return total;
    }

    private double relativeRate(Target target) {
        return speeds.relativeRateOf(target);
    }
}
