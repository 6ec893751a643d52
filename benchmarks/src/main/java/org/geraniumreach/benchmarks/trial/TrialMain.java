package org.geraniumreach.benchmarks.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.geraniumreach.serving.queue.QueuePolicy;
import org.geraniumreach.serving.queue.QueueWeights;
import org.geraniumreach.serving.residency.EvictionPolicy;
import org.geraniumreach.serving.residency.LoadPolicy;
import org.geraniumreach.serving.residency.ResidencySettings;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;

/** Runs all trials. The arguments are the JSON file to write and the number of seeds. */
public final class TrialMain {

    private static final double FLOOD_FACTOR = 5;

    private TrialMain() {}

    /**
     * Runs the trials, writes the JSON file and prints the Markdown tables.
     *
     * @param arguments the file and the number of seeds, not null
     * @throws IOException if the file cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        TrialReport report = new TrialReport(Integer.parseInt(arguments[1]));
        Workload sabarmati = Workload.sabarmati();
        Workload siam = Workload.siam();
        RoutingWeights sabarmatiWeights = RoutingWeights.fewestStalls();
        RoutingWeights siamWeights = RoutingWeights.worstAccountFirst();
        report.run(sabarmati, policyVariants(sabarmatiWeights, QueueWeights.fullBatches()));
        report.run(siam, policyVariants(siamWeights, QueueWeights.worstAccountFirst()));
        report.run(sabarmati.withFlood(FLOOD_FACTOR), floodVariants(sabarmatiWeights, QueueWeights.fullBatches()));
        report.run(siam.withFlood(FLOOD_FACTOR), floodVariants(siamWeights, QueueWeights.worstAccountFirst()));
        report.run(
                sabarmati.withScarceTokens().withFlood(FLOOD_FACTOR),
                floodVariants(sabarmatiWeights, QueueWeights.fullBatches()));
        report.run(
                siam.withScarceTokens().withFlood(FLOOD_FACTOR),
                floodVariants(siamWeights, QueueWeights.worstAccountFirst()));
        report.writeJson(Path.of(arguments[0]));
        System.out.print(report.markdown());
    }

    private static List<Policies> policyVariants(RoutingWeights weights, QueueWeights queueWeights) {
        Policies hashing = Policies.baseline("plain hashing", RoutingPolicy.PLAIN_HASHING, weights);
        Policies affinity = Policies.baseline("affinity", RoutingPolicy.AFFINITY, weights);
        ResidencySettings lru = affinity.residency();
        Policies eviction =
                affinity.withName("+ eviction by worth").withResidency(lru.withEviction(EvictionPolicy.LEAST_WORTH));
        Policies loading = eviction.withName("+ loads by waiting work")
                .withResidency(eviction.residency().withLoading(LoadPolicy.WAITING_WORK));
        Policies fairLoads = loading.withName("+ loads fair over accounts, 4 in transit")
                .withResidency(ResidencySettings.standard(1));
        return List.of(
                Policies.baseline("random", RoutingPolicy.RANDOM, weights),
                Policies.baseline("least loaded", RoutingPolicy.LEAST_LOADED, weights),
                hashing,
                affinity,
                eviction,
                loading,
                fairLoads,
                Policies.full("+ fair queue (all)", weights, queueWeights),
                Policies.full("all, but plain hashing", weights, queueWeights)
                        .withRouting(RoutingPolicy.PLAIN_HASHING));
    }

    private static List<Policies> floodVariants(RoutingWeights weights, QueueWeights queueWeights) {
        return List.of(
                Policies.baseline("plain hashing", RoutingPolicy.PLAIN_HASHING, weights),
                Policies.full("all, but first come", weights, queueWeights).withQueue(QueuePolicy.FIRST_COME),
                Policies.full("all", weights, queueWeights));
    }
}
