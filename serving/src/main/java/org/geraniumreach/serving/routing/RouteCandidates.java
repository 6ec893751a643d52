package org.geraniumreach.serving.routing;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;

/**
 * Applies the rules that hold for every router: draining, excluded and filtered targets, and the hop limit.
 *
 * <p>Safe for use by several threads.
 */
final class RouteCandidates {

    private final FleetView fleet;
    private final TargetFilter filter;
    private final int maximumHops;

    RouteCandidates(FleetView fleet, TargetFilter filter, int maximumHops) {
        this.fleet = fleet;
        this.filter = filter;
        this.maximumHops = maximumHops;
    }

    FleetView fleet() {
        return fleet;
    }

    /**
     * Chooses a target by a rule, unless the request has reached the hop limit.
     *
     * @param request the request
     * @param rule the rule, given the members of the request's offering
     * @return the route, or empty if there is none
     */
    Optional<Route> choose(RouteRequest request, Function<FleetView.Members, Optional<Route>> rule) {
        if (request.excluded().size() >= maximumHops) {
            return Optional.empty();
        }
        return rule.apply(fleet.members(request.offering()));
    }

    boolean allows(RouteRequest request, TrackedTarget target) {
        return !target.isDraining() && !request.excluded().contains(target.target()) && filter.admits(target.target());
    }

    TrackedTarget[] allowedTargets(RouteRequest request, FleetView.Members members) {
        TrackedTarget[] targets = members.targets();
        TrackedTarget[] allowed = new TrackedTarget[targets.length];
        int count = 0;
        for (TrackedTarget target : targets) {
            if (allows(request, target)) {
                allowed[count++] = target;
            }
        }
        return count == targets.length ? allowed : Arrays.copyOf(allowed, count);
    }

    Optional<TrackedTarget> leastLoaded(RouteRequest request, FleetView.Members members) {
        TrackedTarget best = null;
        double bestLoad = Double.MAX_VALUE;
        for (TrackedTarget target : members.targets()) {
            double load = target.relativeLoad();
            if (load < bestLoad && allows(request, target)) {
                best = target;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }

    static Route route(TrackedTarget target, Route.Reason reason, double waitNanos) {
        return new Route(target.target(), target.instance(), reason, (long) waitNanos);
    }
}
