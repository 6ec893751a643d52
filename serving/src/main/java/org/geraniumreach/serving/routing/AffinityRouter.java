package org.geraniumreach.serving.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.serving.prefix.PrefixBelief;
import org.geraniumreach.serving.prefix.PrefixDirectory;

/**
 * The router that takes the target at which a request costs least: itself in waiting, and others in loads.
 *
 * <p>Candidates are the adapter's holders, the first targets of its rendezvous order, where its prefix is, and two targets
 * by chance. Entries that see the same targets agree on the order without talking. Among several holders it weighs two by
 * chance rather than all: reports lag, and many entries that take the same apparent minimum would overrun it together.
 * Safe for use by several threads if its random source is.
 */
final class AffinityRouter implements Router {

    private static final int ORDER_LENGTH = 8;

    private final RouteCandidates candidates;
    private final PrefixDirectory prefixes;
    private final RandomGenerator random;
    private final RoutingWeights weights;
    private final RouteCost cost;
    private final HomeOrders orders;

    AffinityRouter(
            RouteCandidates candidates, PrefixDirectory prefixes, RouterSettings settings, RandomGenerator random) {
        this.candidates = candidates;
        this.prefixes = prefixes;
        this.random = random;
        this.weights = settings.weights();
        this.cost = new RouteCost(settings);
        this.orders = new HomeOrders(ORDER_LENGTH, settings.rememberedAdapters());
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(request, members -> {
            if (members.targets().length == 0) {
                return Optional.empty();
            }
            Search search = new Search(request, members);
            request.adapter().ifPresentOrElse(search::aroundAdapter, search::amongTwo);
            return search.result();
        });
    }

    /** The search for one request; confined to its thread. */
    private final class Search {
        private final RouteRequest request;
        private final FleetView.Members members;
        private final RouteCost.Loads loads;
        private final Optional<PrefixBelief> belief;
        private TrackedTarget best;
        private double bestCost = Double.MAX_VALUE;
        private Route.Reason reason = Route.Reason.LOAD;

        private Search(RouteRequest request, FleetView.Members members) {
            this.request = request;
            this.members = members;
            this.belief = request.prefix().flatMap(prefixes::find);
            TrackedTarget[] holders =
                    request.adapter().map(candidates.fleet()::holders).orElseGet(() -> new TrackedTarget[0]);
            this.loads =
                    new RouteCost.Loads(request.adapter(), candidates.fleet().loadsInTransit(), holders.length);
            considerHolders(holders);
            belief.map(found -> candidates.fleet().tracked(found.target())).ifPresent(this::considerIfMember);
        }

        private void considerHolders(TrackedTarget[] holders) {
            if (holders.length == 0) {
                return;
            }
            int first = random.nextInt(holders.length);
            consider(holders[first], Route.Reason.RESIDENT);
            if (holders.length > 1) {
                int step = 1 + random.nextInt(holders.length - 1);
                consider(holders[(first + step) % holders.length], Route.Reason.RESIDENT);
            }
        }

        private void considerIfMember(TrackedTarget target) {
            if (target.offering().equals(request.offering())) {
                consider(target, Route.Reason.PREFIX);
            }
        }

        private void aroundAdapter(AdapterReference adapter) {
            int homesLeft = weights.homes();
            for (TrackedTarget home : orders.of(adapter, members)) {
                if (homesLeft > 0 && candidates.allows(request, home)) {
                    homesLeft--;
                    consider(home, reasonAt(home, adapter));
                }
            }
            if (best == null || cost.isCrowded(best)) {
                amongTwo();
            }
        }

        private Route.Reason reasonAt(TrackedTarget home, AdapterReference adapter) {
            if (home.report().resident().contains(adapter)) {
                return Route.Reason.RESIDENT;
            }
            if (home.report().loading().contains(adapter)) {
                return Route.Reason.LOADING;
            }
            return loads.holders() == 0 ? Route.Reason.HOME : Route.Reason.REPLICA;
        }

        private void amongTwo() {
            TrackedTarget[] all = members.targets();
            int first = random.nextInt(all.length);
            consider(all[first], Route.Reason.LOAD);
            consider(all[random.nextInt(all.length)], Route.Reason.LOAD);
            for (int step = 1; best == null && step < all.length; step++) {
                consider(all[(first + step) % all.length], Route.Reason.LOAD);
            }
        }

        private void consider(TrackedTarget target, Route.Reason why) {
            if (target == best || !candidates.allows(request, target)) {
                return;
            }
            double total = cost.of(target, loads, candidates.fleet().nowNanos()) - prefixSaving(target);
            if (total < bestCost) {
                best = target;
                bestCost = total;
                reason = why;
            }
        }

        private double prefixSaving(TrackedTarget target) {
            return belief.filter(found -> found.target().equals(target.target()))
                    .map(found -> found.confidence() * weights.prefixTime().toNanos())
                    .orElse(0.0);
        }

        private Optional<Route> result() {
            if (best == null) {
                return Optional.empty();
            }
            return Optional.of(RouteCandidates.route(best, reason, Math.max(0, cost.waitNanos(best, loads))));
        }
    }
}
