package org.geraniumreach.serving.routing;

import java.util.random.RandomGenerator;

import org.geraniumreach.serving.prefix.PrefixDirectory;

/** The policies for choosing a target. Settings use the names of the constants. */
public enum RoutingPolicy {
    /** A random target. */
    RANDOM,
    /** The target with the lowest known load. */
    LEAST_LOADED,
    /** The first target in the adapter's rendezvous order, or the least loaded target if that one is full. */
    PLAIN_HASHING,
    /** The target with the lowest cost to this and other requests, by residency, load and adapter loads in progress. */
    AFFINITY;

    /**
     * Creates a router of this policy.
     *
     * @param fleet the view of the targets, not null
     * @param filter the filter that rejects targets, not null
     * @param prefixes the directory of cached prefixes, not null
     * @param settings the router's settings, not null
     * @param random the random source, safe for use by several threads, not null
     * @return the router, not null
     */
    public Router createRouter(
            FleetView fleet,
            TargetFilter filter,
            PrefixDirectory prefixes,
            RouterSettings settings,
            RandomGenerator random) {
        RouteCandidates candidates =
                new RouteCandidates(fleet, filter, settings.weights().maximumHops());
        return switch (this) {
            case RANDOM -> new RandomRouter(candidates, random);
            case LEAST_LOADED -> new LeastLoadedRouter(candidates);
            case PLAIN_HASHING -> new PlainHashingRouter(candidates, settings);
            case AFFINITY -> new AffinityRouter(candidates, prefixes, settings, random);
        };
    }
}
