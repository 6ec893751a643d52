package org.geraniumreach.benchmarks.jmh;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.serving.prefix.DecayingPrefixDirectory;
import org.geraniumreach.serving.prefix.PrefixDigest;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.residency.FleetLoads;
import org.geraniumreach.serving.residency.Residency;
import org.geraniumreach.serving.residency.ResidencySettings;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.RouteRequest;
import org.geraniumreach.serving.routing.Router;
import org.geraniumreach.serving.routing.RouterSettings;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;
import org.geraniumreach.serving.routing.TargetFilter;

/** Measures the heap used by the state of routing, configuration and residency, and prints it as JSON lines. */
public final class MemoryMain {

    private static final int GC_RUNS = 4;
    private static final int PREFIX_COUNT = 32_768;
    private static final int WAITING_REQUEST_COUNT = 10_000;

    private MemoryMain() {}

    /**
     * Runs the measurements.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (FleetSize size : FleetSize.values()) {
            AdapterReference[] adapters = Fleets.createAdapters(size.adapters());
            measureAndPrint("fleet view, by target", size, size.targets(), () -> Fleets.createFleet(size, adapters));
            FleetView fleet = Fleets.createFleet(size, adapters);
            measureAndPrint("router after one request for each adapter, by adapter", size, size.adapters(), () -> {
                Router router = RoutingPolicy.AFFINITY.createRouter(
                        fleet,
                        TargetFilter.all(),
                        PrefixDirectory.none(),
                        RouterSettings.of(RoutingWeights.fewestStalls()),
                        new Random(1));
                for (AdapterReference adapter : adapters) {
                    router.route(RouteRequest.ofAdapter(Fleets.MODEL, adapter));
                }
                return router;
            });
            List<LogEntry> entries = ConfigurationBenchmark.adapterEntries(size.adapters());
            measureAndPrint(
                    "configuration beside its entries, by adapter",
                    size,
                    size.adapters(),
                    () -> Configuration.ofSnapshot(entries.size(), entries));
            measureAndPrint(
                    "configuration with its entries, by adapter",
                    size,
                    size.adapters(),
                    () -> Configuration.ofSnapshot(
                            size.adapters(), ConfigurationBenchmark.adapterEntries(size.adapters())));
        }
        measureAndPrint("prefix beliefs, by belief", FleetSize.TODAY, PREFIX_COUNT, MemoryMain::createPrefixDirectory);
        measureAndPrint(
                "waiting requests in residency, by request",
                FleetSize.TODAY,
                WAITING_REQUEST_COUNT,
                MemoryMain::createResidencyWithWaitingRequests);
    }

    private static Object createPrefixDirectory() {
        PrefixDirectory directory =
                DecayingPrefixDirectory.create(MonotonicClock.system(), Duration.ofMinutes(1), 2 * PREFIX_COUNT);
        for (int number = 0; number < PREFIX_COUNT; number++) {
            directory.onRequestEnded(new PrefixDigest(number * 0x9E3779B97F4A7C15L, number), Fleets.targetId(0), true);
        }
        return directory;
    }

    private static Object createResidencyWithWaitingRequests() {
        MonotonicClock clock = MonotonicClock.system();
        Residency residency = Residency.create(
                ResidencySettings.standard(FleetSize.SLOTS_PER_TARGET),
                FleetLoads.create(clock, Duration.ofSeconds(1)),
                clock);
        residency.synchronise(1, Set.of(), 0);
        AdapterReference[] adapters = Fleets.createAdapters(WAITING_REQUEST_COUNT / 2);
        for (int number = 0; number < WAITING_REQUEST_COUNT; number++) {
            residency.request(AttemptId.of("attempt-" + number), adapters[number / 2], 1);
        }
        return residency;
    }

    private static void measureAndPrint(String what, FleetSize size, int count, Supplier<Object> factory) {
        factory.get();
        long before = usedHeapBytes();
        Object retained = factory.get();
        long bytes = usedHeapBytes() - before;
        System.out.printf(
                Locale.ROOT,
                "{\"what\": \"%s\", \"size\": \"%s\", \"count\": %d, \"bytes\": %d, \"bytesEach\": %.0f}%n",
                what,
                size,
                count,
                bytes,
                (double) bytes / count);
        if (retained.hashCode() == 0) {
            System.out.println();
        }
    }

    private static long usedHeapBytes() {
        for (int collection = 0; collection < GC_RUNS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
