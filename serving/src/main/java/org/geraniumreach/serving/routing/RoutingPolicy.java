package org.geraniumreach.serving.routing;

import java.util.random.RandomGenerator;

import org.geraniumreach.serving.prefix.PrefixDirectory;

/** The ways of choosing a target, by the names that settings use. */
public enum RoutingPolicy {
    /** Any target, by chance. */
    RANDOM,
    /** The target whose load looks least. */
    LEAST_LOADED,
    /** The first of the adapter's order; the target whose load looks least if that one is full. */
    PLAIN_HASHING,
    /** What costs the request and the others least, by residency, load and loads in transit. */
    AFFINITY;

    /**
     * Makes a router of this policy.
     *
     * @param fleet the targets, not null
     * @param filter holds targets back, not null
     * @param prefixes where prefixes are believed to be, not null
     * @param settings where the router runs and what it weighs, not null
     * @param random the source of chance, safe for use by several threads, not null
     * @return the router, not null
     */
    public Router router(
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
