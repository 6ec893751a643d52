package org.geraniumreach.benchmarks.jmh;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.TargetStatus;

/** Creates fleets, targets and adapters for benchmarks; stateless. */
final class Fleets {

    static final String MODEL = "model";
    static final int CONCURRENCY_LIMIT = 16;

    private static final int FAILURE_DOMAINS = 6;
    private static final long RANDOM_SEED = 1;
    private static final double ZIPF_EXPONENT = 1.1;

    private Fleets() {}

    static AdapterReference[] createAdapters(int count) {
        AdapterReference[] adapters = new AdapterReference[count];
        for (int number = 0; number < count; number++) {
            adapters[number] = AdapterReference.of("adapter-" + number, "1");
        }
        return adapters;
    }

    static TargetId targetId(int number) {
        return TargetId.of("target-" + number);
    }

    static void joinTarget(FleetView fleet, int number) {
        fleet.join(
                new Target(
                        targetId(number),
                        FailureDomain.of("domain-" + number % FAILURE_DOMAINS),
                        Optional.of(MODEL),
                        Optional.empty(),
                        FleetSize.SLOTS_PER_TARGET,
                        true),
                InstanceId.of("instance-" + number));
    }

    static FleetView createFleet(FleetSize size, AdapterReference[] adapters) {
        FleetView fleet = FleetView.create(MonotonicClock.system());
        Random random = new Random(RANDOM_SEED);
        for (int number = 0; number < size.targets(); number++) {
            joinTarget(fleet, number);
            Set<AdapterReference> resident = new HashSet<>();
            for (int slot = 0; slot < FleetSize.SLOTS_PER_TARGET; slot++) {
                resident.add(adapters[(slot * size.targets() + number) % adapters.length]);
            }
            fleet.apply(createStatus(number, 1, random.nextInt(CONCURRENCY_LIMIT), true, resident, Set.of()));
        }
        return fleet;
    }

    static ZipfDistribution adapterPopularity(int adapters) {
        return new ZipfDistribution(new Well19937c(RANDOM_SEED), adapters, ZIPF_EXPONENT);
    }

    static TargetStatus createStatus(
            int number,
            long sequence,
            int running,
            boolean complete,
            Set<AdapterReference> resident,
            Set<AdapterReference> removed) {
        return new TargetStatus(
                targetId(number),
                sequence,
                1,
                running,
                0,
                0,
                CONCURRENCY_LIMIT,
                FleetSize.SLOTS_PER_TARGET,
                complete,
                resident,
                removed,
                Set.of(),
                false,
                0);
    }
}
