package org.geraniumreach.serving.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** A baseline router that chooses a random target; safe for use by several threads if its random source is. */
final class RandomRouter implements Router {

    private final RouteCandidates candidates;
    private final RandomGenerator random;

    RandomRouter(RouteCandidates candidates, RandomGenerator random) {
        this.candidates = candidates;
        this.random = random;
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(request, members -> {
            TrackedTarget[] allowed = candidates.allowedTargets(request, members);
            if (allowed.length == 0) {
                return Optional.empty();
            }
            TrackedTarget chosen = allowed[random.nextInt(allowed.length)];
            return Optional.of(RouteCandidates.route(chosen, Route.Reason.RANDOM, 0));
        });
    }
}
