package org.geraniumreach.benchmarks.trial;

import org.geraniumreach.serving.queue.QueuePolicy;
import org.geraniumreach.serving.queue.QueueWeights;
import org.geraniumreach.serving.residency.EvictionPolicy;
import org.geraniumreach.serving.residency.LoadPolicy;
import org.geraniumreach.serving.residency.ResidencySettings;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;

/**
 * The decisions under trial; immutable.
 *
 * @param name their name in reports
 * @param routing the router
 * @param routingWeights what it weighs
 * @param queue the order of requests
 * @param queueWeights what it weighs
 * @param residency the management of slots, for any number of slots
 */
record Policies(
        String name,
        RoutingPolicy routing,
        RoutingWeights routingWeights,
        QueuePolicy queue,
        QueueWeights queueWeights,
        ResidencySettings residency) {

    static Policies baseline(String name, RoutingPolicy routing, RoutingWeights weights) {
        ResidencySettings residency = ResidencySettings.standard(1)
                .withEviction(EvictionPolicy.LEAST_RECENTLY_USED)
                .withLoading(LoadPolicy.FIRST_COME);
        return new Policies(
                name, routing, weights, QueuePolicy.FIRST_COME, QueueWeights.worstAccountFirst(), residency);
    }

    static Policies full(String name, RoutingWeights weights, QueueWeights queueWeights) {
        return new Policies(
                name, RoutingPolicy.AFFINITY, weights, QueuePolicy.FAIR, queueWeights, ResidencySettings.standard(1));
    }

    Policies withName(String other) {
        return new Policies(other, routing, routingWeights, queue, queueWeights, residency);
    }

    Policies withResidency(ResidencySettings settings) {
        return new Policies(name, routing, routingWeights, queue, queueWeights, settings);
    }

    Policies withQueue(QueuePolicy policy) {
        return new Policies(name, routing, routingWeights, policy, queueWeights, residency);
    }

    Policies withRouting(RoutingPolicy policy) {
        return new Policies(name, policy, routingWeights, queue, queueWeights, residency);
    }
}
