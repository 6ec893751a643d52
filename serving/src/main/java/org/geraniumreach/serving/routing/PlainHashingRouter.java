package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * The baseline that takes the first of the adapter's order, or the target whose load looks least if that one is full.
 *
 * <p>Safe for use by several threads.
 */
final class PlainHashingRouter implements Router {

    private static final int HOME_ONLY = 1;

    private final RouteCandidates candidates;
    private final HomeOrders orders;

    PlainHashingRouter(RouteCandidates candidates, RouterSettings settings) {
        this.candidates = candidates;
        this.orders = new HomeOrders(HOME_ONLY, settings.rememberedAdapters());
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(request, members -> home(request, members).or(() -> candidates
                .leastLoaded(request, members)
                .map(target -> RouteCandidates.route(target, Route.Reason.LOAD, 0))));
    }

    private Optional<Route> home(RouteRequest request, FleetView.Members members) {
        if (request.adapter().isEmpty() || members.targets().length == 0) {
            return Optional.empty();
        }
        TrackedTarget home = orders.of(request.adapter().get(), members).targets()[0];
        if (!candidates.allows(request, home) || home.relativeLoad() >= 1) {
            return Optional.empty();
        }
        return Optional.of(RouteCandidates.route(home, Route.Reason.HOME, 0));
    }
}
