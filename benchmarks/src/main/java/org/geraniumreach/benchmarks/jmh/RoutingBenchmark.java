package org.geraniumreach.benchmarks.jmh;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.commons.math3.distribution.ZipfDistribution;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.Route;
import org.geraniumreach.serving.routing.RouteRequest;
import org.geraniumreach.serving.routing.Router;
import org.geraniumreach.serving.routing.RouterSettings;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;
import org.geraniumreach.serving.routing.TargetFilter;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures routing, and applying target status messages and membership changes to the fleet view; one thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {

    private static final int REQUEST_COUNT = 1 << 14;

    /** The size of the fleet. */
    @Param
    FleetSize size;

    private final RouteRequest[] requests = new RouteRequest[REQUEST_COUNT];
    private FleetView fleet;
    private AdapterReference[] adapters;
    private Router affinity;
    private Router plainHashing;
    private Router leastLoaded;
    private int nextNumber;
    private long sequence = 1;

    /** Creates the fleet, the routers and the requests. */
    @Setup
    public void setUp() {
        adapters = Fleets.createAdapters(size.adapters());
        fleet = Fleets.createFleet(size, adapters);
        affinity = createRouter(RoutingPolicy.AFFINITY);
        plainHashing = createRouter(RoutingPolicy.PLAIN_HASHING);
        leastLoaded = createRouter(RoutingPolicy.LEAST_LOADED);
        ZipfDistribution popularity = Fleets.adapterPopularity(adapters.length);
        for (int index = 0; index < REQUEST_COUNT; index++) {
            requests[index] = RouteRequest.ofAdapter(Fleets.MODEL, adapters[popularity.sample() - 1]);
        }
    }

    private Router createRouter(RoutingPolicy policy) {
        return policy.createRouter(
                fleet,
                TargetFilter.all(),
                PrefixDirectory.none(),
                RouterSettings.of(RoutingWeights.fewestStalls()),
                new Random(1));
    }

    private RouteRequest nextRequest() {
        return requests[nextNumber++ & REQUEST_COUNT - 1];
    }

    /**
     * Routes a request by residency, load and demand.
     *
     * @return the route
     */
    @Benchmark
    public Optional<Route> affinity() {
        return affinity.route(nextRequest());
    }

    /**
     * Routes a request by plain hashing.
     *
     * @return the route
     */
    @Benchmark
    public Optional<Route> plainHashing() {
        return plainHashing.route(nextRequest());
    }

    /**
     * Routes a request to the least loaded target.
     *
     * @return the route
     */
    @Benchmark
    public Optional<Route> leastLoaded() {
        return leastLoaded.route(nextRequest());
    }

    /**
     * Applies a Status with one adapter added or removed.
     *
     * @return whether the Status was newer than the last one
     */
    @Benchmark
    public boolean statusWithAChange() {
        int number = nextNumber++ % size.targets();
        AdapterReference changed = adapters[adapters.length - 1];
        boolean resident = nextNumber / size.targets() % 2 == 0;
        Set<AdapterReference> added = resident ? Set.of() : Set.of(changed);
        Set<AdapterReference> removed = resident ? Set.of(changed) : Set.of();
        return fleet.apply(Fleets.createStatus(number, ++sequence, 3, false, added, removed));
    }

    /**
     * Applies a Status that changes only the load.
     *
     * @return whether the Status was newer than the last one
     */
    @Benchmark
    public boolean statusOfLoadOnly() {
        int number = nextNumber++ % size.targets();
        return fleet.apply(Fleets.createStatus(number, ++sequence, 3, false, Set.of(), Set.of()));
    }

    /** Removes a target and adds it again. {@link #affinityAfterAChange} includes the cost to the next routing. */
    @Benchmark
    public void targetLeavesAndJoins() {
        int number = nextNumber++ % size.targets();
        fleet.leave(Fleets.targetId(number));
        Fleets.joinTarget(fleet, number);
    }

    /**
     * Routes a request after a target has left and rejoined, when no order of targets is cached.
     *
     * @return the route
     */
    @Benchmark
    public Optional<Route> affinityAfterAChange() {
        targetLeavesAndJoins();
        return affinity.route(nextRequest());
    }
}
