package org.geraniumreach.benchmarks.trial;

import org.geraniumreach.serving.queue.QueuePolicy;
import org.geraniumreach.serving.queue.QueueWeights;
import org.geraniumreach.serving.residency.EvictionPolicy;
import org.geraniumreach.serving.residency.LoadPolicy;
import org.geraniumreach.serving.residency.ResidencySettings;
import org.geraniumreach.serving.routing.RoutingPolicy;
import org.geraniumreach.serving.routing.RoutingWeights;

/**
 * The policies that a trial runs with; immutable.
 *
 * @param name the name in reports
 * @param routing the routing policy
 * @param routingWeights the weights of the routing policy
 * @param queue the policy for the order of waiting requests
 * @param queueWeights the weights of the queue policy
 * @param residency the settings of adapter residency; the workload replaces the number of slots
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

    Policies withName(String newName) {
        return new Policies(newName, routing, routingWeights, queue, queueWeights, residency);
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
