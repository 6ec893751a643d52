package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * A baseline router that chooses the first target in the adapter's rendezvous order, or the least loaded target if that
 * one is full.
 *
 * <p>Safe for use by several threads.
 */
final class PlainHashingRouter implements Router {

    private static final int CACHED_ORDER_LENGTH = 1;

    private final RouteCandidates candidates;
    private final RendezvousOrderCache orderCache;

    PlainHashingRouter(RouteCandidates candidates, RouterSettings settings) {
        this.candidates = candidates;
        this.orderCache = new RendezvousOrderCache(CACHED_ORDER_LENGTH, settings.rememberedAdapters());
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(
                request, members -> routeToHome(request, members).or(() -> candidates
                        .leastLoaded(request, members)
                        .map(target -> RouteCandidates.route(target, Route.Reason.LOAD, 0))));
    }

    private Optional<Route> routeToHome(RouteRequest request, FleetView.Members members) {
        if (request.adapter().isEmpty() || members.targets().length == 0) {
            return Optional.empty();
        }
        TrackedTarget home = orderCache.get(request.adapter().get(), members).targets()[0];
        if (!candidates.allows(request, home) || home.relativeLoad() >= 1) {
            return Optional.empty();
        }
        return Optional.of(RouteCandidates.route(home, Route.Reason.HOME, 0));
    }
}
