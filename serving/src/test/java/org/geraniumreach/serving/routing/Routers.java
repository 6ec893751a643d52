package org.geraniumreach.serving.routing;

import java.util.Random;

import org.geraniumreach.serving.prefix.PrefixDirectory;

/** Creates routers for tests. */
final class Routers {

    private static final long SEED = 7;

    private Routers() {}

    static Router of(RoutingPolicy policy, FleetView fleet, TargetFilter filter, PrefixDirectory prefixes) {
        return policy.createRouter(
                fleet, filter, prefixes, RouterSettings.of(RoutingWeights.fewestStalls()), new Random(SEED));
    }
}
