package org.geraniumreach.serving.routing;

import java.util.Optional;

/** A baseline router that chooses the target with the lowest known load; safe for use by several threads. */
final class LeastLoadedRouter implements Router {

    private final RouteCandidates candidates;

    LeastLoadedRouter(RouteCandidates candidates) {
        this.candidates = candidates;
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(request, members -> candidates
                .leastLoaded(request, members)
                .map(target -> RouteCandidates.route(target, Route.Reason.LOAD, 0)));
    }
}
