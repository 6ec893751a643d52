package org.geraniumreach.serving.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.prefix.PrefixLocation;

/**
 * A router that chooses the target with the lowest cost: the request's waiting time plus the delay it causes to others.
 *
 * <p>Candidates are the targets that hold the adapter, its home targets (the first ones in its rendezvous order) if
 * more replicas are allowed, the target that probably caches the prompt's prefix, and two random targets if all of
 * these are crowded. Entries with the same targets compute the same order without communicating. Of several holders,
 * two random ones are compared instead of all: reports lag, and many entries that choose the same apparent minimum
 * would overload it. Safe for use by several threads if its random source is.
 */
final class AffinityRouter implements Router {

    private static final int CACHED_ORDER_LENGTH = 8;
    private static final TrackedTarget[] NO_TARGETS = {};

    private final RouteCandidates candidates;
    private final FleetView fleet;
    private final PrefixDirectory prefixes;
    private final RandomGenerator random;
    private final RoutingWeights weights;
    private final RouteCost cost;
    private final RendezvousOrderCache orderCache;
    private final ReplicaLimit replicaLimit;

    AffinityRouter(
            RouteCandidates candidates, PrefixDirectory prefixes, RouterSettings settings, RandomGenerator random) {
        this.candidates = candidates;
        this.fleet = candidates.fleet();
        this.prefixes = prefixes;
        this.random = random;
        this.weights = settings.weights();
        this.cost = new RouteCost(settings);
        this.orderCache = new RendezvousOrderCache(CACHED_ORDER_LENGTH, settings.rememberedAdapters());
        this.replicaLimit = new ReplicaLimit(fleet, weights.replicaFill(), settings.rememberedAdapters());
    }

    @Override
    public Optional<Route> route(RouteRequest request) {
        return candidates.choose(request, members -> {
            if (members.targets().length == 0) {
                return Optional.empty();
            }
            Search search = new Search(request, members);
            search.run();
            return search.result();
        });
    }

    /** The search for the best target of one request; confined to one thread. */
    private final class Search {
        private final RouteRequest request;
        private final FleetView.Members members;
        private final TrackedTarget[] holders;
        private final RouteCost.LoadContext loadContext;
        private final Optional<PrefixLocation> prefixLocation;
        private TrackedTarget best;
        private double bestCost = Double.MAX_VALUE;
        private Route.Reason reason = Route.Reason.LOAD;

        private Search(RouteRequest request, FleetView.Members members) {
            this.request = request;
            this.members = members;
            this.prefixLocation = request.prefix().flatMap(prefixes::find);
            this.holders = request.adapter().map(fleet::holders).orElse(NO_TARGETS);
            this.loadContext = new RouteCost.LoadContext(request.adapter(), fleet.pendingLoads(), holders.length);
        }

        private void run() {
            prefixLocation.map(found -> fleet.tracked(found.target())).ifPresent(this::considerForPrefix);
            request.adapter().ifPresent(this::considerForAdapter);
            if (best == null || request.adapter().isEmpty()) {
                considerTwoRandom();
            }
        }

        private void considerForAdapter(AdapterReference adapter) {
            ReplicaLimit.LoadTotals totals = replicaLimit.totals(request.offering());
            int allowed = replicaLimit.allowedHolders(adapter, totals);
            RendezvousOrderCache.Order order = orderCache.get(adapter, members);
            considerHolders(eligibleHolders(adapter, order, allowed));
            if (holders.length < allowed || needsAlternatives(totals)) {
                considerHomes(adapter, order, Math.max(allowed, weights.homes()));
            }
            if (needsAlternatives(totals)) {
                considerTwoRandom();
            }
        }

        private boolean needsAlternatives(ReplicaLimit.LoadTotals totals) {
            return best == null || cost.isCrowded(best, totals.meanRelativeLoad());
        }

        /*
         * If more targets hold the adapter than are allowed, those last in the rendezvous order get no requests, so
         * that their slots can be evicted. All entries pass over the same ones. The cached order usually contains
         * enough holders, so the time taken does not grow with the number of holders.
         */
        private TrackedTarget[] eligibleHolders(
                AdapterReference adapter, RendezvousOrderCache.Order order, int allowed) {
            if (holders.length <= allowed) {
                return holders;
            }
            TrackedTarget[] eligible = new TrackedTarget[allowed];
            int count = 0;
            for (TrackedTarget target : order.targets()) {
                if (count < allowed && target.report().resident().contains(adapter)) {
                    eligible[count++] = target;
                }
            }
            return count == allowed ? eligible : Rendezvous.topRanked(order.keyHash(), holders, allowed);
        }

        private void considerHolders(TrackedTarget[] eligible) {
            if (eligible.length == 0) {
                return;
            }
            int start = random.nextInt(eligible.length);
            consider(eligible[start], Route.Reason.RESIDENT);
            if (eligible.length > 1) {
                int step = 1 + random.nextInt(eligible.length - 1);
                consider(eligible[(start + step) % eligible.length], Route.Reason.RESIDENT);
            }
        }

        private void considerForPrefix(TrackedTarget target) {
            if (target.offering().equals(request.offering())) {
                consider(target, Route.Reason.PREFIX);
            }
        }

        private void considerHomes(AdapterReference adapter, RendezvousOrderCache.Order order, int count) {
            int remaining = count;
            for (TrackedTarget home : order.targets()) {
                if (remaining > 0 && candidates.allows(request, home)) {
                    remaining--;
                    consider(home, homeReason(home, adapter));
                }
            }
        }

        private Route.Reason homeReason(TrackedTarget home, AdapterReference adapter) {
            if (home.report().resident().contains(adapter)) {
                return Route.Reason.RESIDENT;
            }
            if (home.report().loading().contains(adapter)) {
                return Route.Reason.LOADING;
            }
            return holders.length == 0 ? Route.Reason.HOME : Route.Reason.REPLICA;
        }

        private void considerTwoRandom() {
            TrackedTarget[] all = members.targets();
            int start = random.nextInt(all.length);
            consider(all[start], Route.Reason.LOAD);
            consider(all[random.nextInt(all.length)], Route.Reason.LOAD);
            for (int step = 1; best == null && step < all.length; step++) {
                consider(all[(start + step) % all.length], Route.Reason.LOAD);
            }
        }

        private void consider(TrackedTarget target, Route.Reason candidateReason) {
            if (target == best || !candidates.allows(request, target)) {
                return;
            }
            double total = cost.totalNanos(target, loadContext) - prefixSaving(target);
            if (total < bestCost) {
                best = target;
                bestCost = total;
                reason = candidateReason;
            }
        }

        private double prefixSaving(TrackedTarget target) {
            return prefixLocation
                    .filter(found -> found.target().equals(target.target()))
                    .map(found -> found.confidence() * weights.prefixTime().toNanos())
                    .orElse(0.0);
        }

        private Optional<Route> result() {
            if (best == null) {
                return Optional.empty();
            }
            return Optional.of(RouteCandidates.route(best, reason, Math.max(0, cost.waitNanos(best, loadContext))));
        }
    }
}
