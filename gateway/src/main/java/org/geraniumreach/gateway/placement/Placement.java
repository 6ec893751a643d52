package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Selects targets for requests.
 *
 * <p>Intended for thousands of adapters of very uneven popularity, few slots for them, and prompt prefixes that only the target that read
 * them has cached. Requests of one adapter go to one home target while it has capacity, so that neither a slot nor a prefix is taken
 * twice; a saturated home is relieved by another target that holds the adapter, and by a load elsewhere only if all of them are
 * saturated. Confined to the event loop.
 */
public final class Placement {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Waits closer than this are alike, and the session decides, whose prompt one of the targets may still have. */
    private static final long WAIT_BUCKET_MILLIS = 40;

    private final AdapterDemand demand;
    private final Map<String, PrefillRate> prefillRates = new HashMap<>();
    private final TargetRegistry registry;
    private final TargetConditions conditions;
    private final IntSupplier entryCount;
    private final FailureDomain ownFailureDomain;
    private final PlacementSettings settings;
    private final MonotonicClock clock;

    /**
     * Makes a placement.
     *
     * @param registry the targets, not null
     * @param conditions tells which targets may be used now, not null
     * @param entries tells how many entries there are, not null
     * @param here this entry's failure domain, not null
     * @param settings what it goes by, not null
     * @param clock the clock, not null
     */
    public Placement(
            TargetRegistry registry,
            TargetConditions conditions,
            IntSupplier entries,
            FailureDomain here,
            PlacementSettings settings,
            MonotonicClock clock) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.conditions = Objects.requireNonNull(conditions, "conditions");
        this.entryCount = Objects.requireNonNull(entries, "entries");
        this.ownFailureDomain = Objects.requireNonNull(here, "here");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.demand = new AdapterDemand(clock.nanos());
    }

    /**
     * Selects a target for a request.
     *
     * @param need the placement request, not null
     * @return the decision, not null
     */
    public PlacementDecision place(PlacementRequest need) {
        List<Target> offering = registry.findByService(need.service());
        if (offering.isEmpty()) {
            return new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_TARGET);
        }
        List<Target> left = offering.stream()
                .filter(target ->
                        target.acceptsRequests() && !need.excludedTargets().contains(target.id()))
                .toList();
        List<Target> open =
                left.stream().filter(target -> !conditions.isEvacuated(target)).toList();
        List<Target> sendable =
                open.stream().filter(conditions.withinColdLimit()).toList();
        if (sendable.isEmpty()) {
            return new PlacementDecision.Unplaceable(reasonNoneSendable(left, open));
        }
        List<Target> usable = healthyIfAny(sendable);
        if (need.model().isEmpty()) {
            return placeOnLeastLoaded(need, usable);
        }
        List<Target> holding = usable.stream()
                .filter(target -> target.holdsModel(need.model().get()))
                .toList();
        if (holding.isEmpty()) {
            return new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_MODEL);
        }
        return need.adapter().isPresent() ? placeByAdapter(need, holding) : placeByAffinity(need, holding);
    }

    private static PlacementDecision.Reason reasonNoneSendable(List<Target> left, List<Target> open) {
        if (left.isEmpty()) {
            return PlacementDecision.Reason.NONE_LEFT;
        }
        return open.isEmpty() ? PlacementDecision.Reason.EVACUATED : PlacementDecision.Reason.COLD;
    }

    private List<Target> healthyIfAny(List<Target> targets) {
        List<Target> healthy = targets.stream().filter(conditions.healthy()).toList();
        return healthy.isEmpty() ? targets : healthy;
    }

    private List<Target> inUseIfAny(List<Target> targets) {
        List<Target> staying = targets.stream().filter(conditions::isInUse).toList();
        return staying.isEmpty() ? targets : staying;
    }

    private PlacementDecision placeOnLeastLoaded(PlacementRequest need, List<Target> usable) {
        Target best = null;
        double bestLoad = Double.MAX_VALUE;
        for (Target target : rank(need.affinityKey(), inUseIfAny(usable))) {
            double load = relativeLoad(target);
            if (load < bestLoad) {
                best = target;
                bestLoad = load;
            }
        }
        return new PlacementDecision.Send(best, PlacementDecision.Reason.LEAST_LOAD, 0, Optional.empty());
    }

    /** A target elsewhere counts as if it had a tenth of a request more, which decides only between idle ones. */
    private double relativeLoad(Target target) {
        double load = target.load(clock.nanos(), settings.reportLifetime());
        double distance = target.description().failureDomain().equals(ownFailureDomain) ? 0 : 0.1;
        return (load + distance) / target.description().slots();
    }

    private PlacementDecision placeByAffinity(PlacementRequest need, List<Target> holding) {
        List<Target> order = rank(need.affinityKey(), inUseIfAny(holding));
        return findFirstNotOverloaded(order, need)
                .<PlacementDecision>map(target -> send(target, order, need, Optional.empty()))
                .orElseGet(() -> sendWithMinimumWait(order, need));
    }

    private PlacementDecision placeByAdapter(PlacementRequest need, List<Target> holding) {
        AdapterName adapter = need.adapter().get();
        List<Target> ranked = rank(adapter.toString(), holding);
        List<Target> staying = inUseIfAny(ranked);
        List<Target> order = withRemainingLast(staying, ranked);
        List<Target> homes = staying.subList(0, Math.min(staying.size(), homeCount(need, staying.size())));
        List<Target> residents = newestVersionResidents(order, need);
        Optional<Target> missingHome = findAdditionalHome(need, staying, homes, newestVersionResidents(staying, need));
        List<Target> usableHomes = homes.stream().filter(residents::contains).toList();
        List<Target> residentsWithRoom = withoutPrefillDelay(residents, need);
        Optional<Target> roomy = findMinimumWait(withoutPrefillDelay(usableHomes, need), need)
                .filter(target -> !isOverloaded(target, need))
                .or(() -> findFirstNotOverloaded(residentsWithRoom, need));
        if (roomy.isPresent()) {
            return send(roomy.get(), order, need, missingHome);
        }
        if (need.mayBeDeferred() && !residents.isEmpty() && residentsWithRoom.isEmpty()) {
            return defer(residents, need);
        }
        Optional<Target> best = findMinimumWait(usableHomes, need)
                .filter(target -> !isOverloaded(target, need))
                .or(() -> findFirstNotOverloaded(residents, need));
        if (best.isPresent()) {
            return send(best.get(), order, need, missingHome);
        }
        return residents.isEmpty() || isWorthLoadingElsewhere(residents, need)
                ? placeWithLoad(need, order, residents)
                : sendWithMinimumWait(residents, need);
    }

    private static List<Target> withRemainingLast(List<Target> first, List<Target> all) {
        if (first.size() == all.size()) {
            return all;
        }
        Set<Target> together = new LinkedHashSet<>(first);
        together.addAll(all);
        return List.copyOf(together);
    }

    private PlacementDecision placeWithLoad(PlacementRequest need, List<Target> order, List<Target> residents) {
        // Each load that is given up for one elsewhere has the adapter fetched twice.
        Optional<Target> asked = order.stream()
                .filter(target -> need.loadingTargets().contains(target.id()) && conditions.canLoad(target))
                .findFirst();
        if (asked.isPresent() && !residents.contains(asked.get())) {
            return new PlacementDecision.Load(asked.get());
        }
        Optional<Target> loadable = order.stream()
                .filter(target ->
                        !residents.contains(target) && canLoad(target, need) && isFreeWithinLoadTime(target, need))
                .min(Comparator.comparing(target -> holdsOlderVersion(target, need)));
        if (loadable.isPresent()) {
            return new PlacementDecision.Load(loadable.get());
        }
        if (!residents.isEmpty()) {
            return sendWithMinimumWait(residents, need);
        }
        // Where every target was slow once, waiting on at one that may still load is better than being sent away.
        return order.stream()
                .filter(conditions::canLoad)
                .min(Comparator.comparingLong(target -> expectedWaitMillis(target, need)))
                .<PlacementDecision>map(PlacementDecision.Load::new)
                .orElseGet(() -> new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_HOLDER));
    }

    /** A load elsewhere takes a place and a share of the weight store, which those without any target wait for. */
    private boolean isWorthLoadingElsewhere(List<Target> residents, PlacementRequest need) {
        return residents.stream().noneMatch(target -> isFreeWithinLoadTime(target, need));
    }

    /**
     * What is ahead now is read by the time the load is done. Entries see a target's crowd differently, and each that passes over
     * the home has the same adapter fetched somewhere else.
     */
    private boolean isFreeWithinLoadTime(Target target, PlacementRequest need) {
        return !need.saturatedTargets().contains(target.id())
                && expectedWaitMillis(target, need)
                        <= need.objective().toMillis() * settings.loadElsewhereWaitFraction();
    }

    private Duration prefillDelay(Target target, PlacementRequest need) {
        return target.prefillDelay(
                need.promptTokens(), prefillTokensPerWindow(need.service()), settings.prefillWindow(), clock.nanos());
    }

    private long prefillTokensPerWindow(String service) {
        double readable =
                prefillTokensPerMilli(service) * settings.prefillWindow().toMillis();
        return (long) (readable * settings.prefillWindowFraction());
    }

    private double prefillTokensPerMilli(String service) {
        return prefillRate(service).tokensPerMilli();
    }

    private PrefillRate prefillRate(String service) {
        return prefillRates.computeIfAbsent(service, missing -> new PrefillRate());
    }

    /**
     * Gets the speed at which the targets of a service read prompts, without the steps until the first part, as far as it was learnt.
     *
     * @param service the service, not null
     * @return the tokens in a millisecond, above 0
     */
    public double readingSpeed(String service) {
        return prefillRate(service).netTokensPerMilli();
    }

    /**
     * Queries whether a target that was selected before may still be sent a request.
     *
     * @param target the target, not null
     * @return true if it may
     */
    public boolean isSendable(Target target) {
        return target.acceptsRequests()
                && !conditions.isEvacuated(target)
                && conditions.withinColdLimit().test(target);
    }

    /**
     * Notes that a prompt was read that had nothing of this entry's ahead of it.
     *
     * @param target where it was read, not null
     * @param promptTokens its tokens
     * @param took the time from its sending to the first part of its answer, not null
     */
    public void recordPrefill(Target target, long promptTokens, Duration took) {
        prefillRate(target.description().service()).record(promptTokens, took);
    }

    private List<Target> withoutPrefillDelay(List<Target> targets, PlacementRequest need) {
        return targets.stream()
                .filter(target -> prefillDelay(target, need).isZero())
                .toList();
    }

    private PlacementDecision defer(List<Target> targets, PlacementRequest need) {
        Duration least = targets.stream()
                .map(target -> prefillDelay(target, need))
                .min(Comparator.naturalOrder())
                .orElseThrow();
        return new PlacementDecision.Defer(least);
    }

    private boolean canLoad(Target target, PlacementRequest need) {
        return conditions.canLoad(target) && !need.slowLoadingTargets().contains(target.id());
    }

    /**
     * Finds where the adapter, or its newest version, should be loaded for requests to come.
     *
     * <p>As many targets as there should be homes are enough, also where they are not the homes: when targets come and go the homes
     * of a part of all adapters change, and loading each of these again at its new home fills the weight store. A newer version replaces an
     * older one at the same target only once the runs there have ended, and nothing else can be loaded there meanwhile; so it is
     * loaded where no version is.
     */
    private Optional<Target> findAdditionalHome(
            PlacementRequest need, List<Target> order, List<Target> homes, List<Target> residents) {
        boolean newestThere =
                residents.stream().anyMatch(target -> residentVersion(target, need) >= need.newestVersion());
        if (newestThere && residents.size() >= homes.size()) {
            return Optional.empty();
        }
        List<Target> candidates = newestThere ? homes : order;
        return candidates.stream()
                .filter(target ->
                        !residents.contains(target) && canLoad(target, need) && !holdsOlderVersion(target, need))
                .findFirst();
    }

    private static boolean holdsOlderVersion(Target target, PlacementRequest need) {
        return target.residentVersion(need.adapter().get()).isPresent()
                && residentVersion(target, need) < need.newestVersion();
    }

    private static long residentVersion(Target target, PlacementRequest need) {
        return target.residentVersion(need.adapter().get()).orElse(0);
    }

    /**
     * Tells at how many targets an adapter should be.
     *
     * <p>One adapter may have a fifth of all requests, more than one target reads without making its streams pause. How much of it one
     * target takes depends on what all of them read: on a calm day a second home costs a load and a place for nothing, on the
     * heaviest it keeps the home's other streams going.
     */
    private int homeCount(PlacementRequest need, int targets) {
        long now = clock.nanos();
        int everybody = Math.max(1, entryCount.getAsInt());
        double readable = prefillTokensPerMilli(need.service()) * MILLIS_PER_SECOND;
        double busy = demand.totalTokensPerSecond(now) * everybody / (readable * targets);
        double share = settings.prefillShare().at(busy);
        double others = demand.otherTokensPerSecond(need.adapter().get(), need.promptTokens(), now);
        return Math.max(1, (int) Math.ceil(others * everybody / (readable * share)));
    }

    private Optional<Target> findMinimumWait(List<Target> targets, PlacementRequest need) {
        List<Target> bySession = rank(need.affinityKey(), targets);
        return bySession.stream()
                .min(Comparator.comparingLong(target -> expectedWaitMillis(target, need) / WAIT_BUCKET_MILLIS));
    }

    /**
     * Notes that a request for an adapter has come.
     *
     * @param adapter the adapter, not null
     * @param promptTokens the tokens of its prompt
     */
    public void recordRequest(AdapterName adapter, long promptTokens) {
        demand.recordRequest(adapter, promptTokens, clock.nanos());
    }

    /** Those that hold the newest version, or, as long as an older one may run, those that hold that. */
    private static List<Target> newestVersionResidents(List<Target> order, PlacementRequest need) {
        List<Target> residents =
                order.stream().filter(target -> isResident(target, need)).toList();
        List<Target> newest = residents.stream()
                .filter(target -> residentVersion(target, need) >= need.newestVersion())
                .toList();
        return newest.isEmpty() ? residents : newest;
    }

    private static boolean isResident(Target target, PlacementRequest need) {
        OptionalLong version = target.residentVersion(need.adapter().get());
        return version.isPresent() && version.getAsLong() >= need.minimumVersion();
    }

    private Optional<Target> findFirstNotOverloaded(List<Target> order, PlacementRequest need) {
        return order.stream().filter(target -> !isOverloaded(target, need)).findFirst();
    }

    private boolean isOverloaded(Target target, PlacementRequest need) {
        return need.saturatedTargets().contains(target.id())
                || expectedWaitMillis(target, need) > need.objective().toMillis() * settings.overloadWaitFraction();
    }

    private PlacementDecision send(
            Target target, List<Target> order, PlacementRequest need, Optional<Target> alsoLoad) {
        PlacementDecision.Reason reason =
                order.get(0) == target ? PlacementDecision.Reason.HOME : PlacementDecision.Reason.RESIDENT;
        return new PlacementDecision.Send(target, reason, expectedWaitMillis(target, need), alsoLoad);
    }

    private PlacementDecision sendWithMinimumWait(List<Target> targets, PlacementRequest need) {
        Target best = targets.stream()
                .min(Comparator.comparing(
                                (Target target) -> need.saturatedTargets().contains(target.id()))
                        .thenComparing(target -> expectedWaitMillis(target, need)))
                .orElseThrow();
        return new PlacementDecision.Send(
                best, PlacementDecision.Reason.LEAST_WAIT, expectedWaitMillis(best, need), Optional.empty());
    }

    /**
     * Estimates how long a request waits for its first part at a target.
     *
     * <p>Other entries' prompts are taken to be as long as this one's own, in proportion to the requests there.
     *
     * @param target the target, not null
     * @param need the request's need, not null
     * @return the wait in milliseconds
     */
    public long expectedWaitMillis(Target target, PlacementRequest need) {
        long now = clock.nanos();
        int load = target.load(now, settings.reportLifetime());
        double others = target.outstanding() > 0 ? Math.max(1.0, (double) load / target.outstanding()) : 1.0;
        double reading =
                (target.pendingPromptTokens() * others + need.promptTokens()) / prefillTokensPerMilli(need.service());
        double queued = target.waiting(now, settings.reportLifetime())
                * (double) settings.slotReleaseInterval().toMillis();
        return (long) (reading + queued);
    }

    /** Ranks targets by rendezvous; equal scores keep the order of the list, which is that of the names. */
    private static List<Target> rank(String key, List<Target> targets) {
        int hash = Rendezvous.hash(key);
        long[] ranks = new long[targets.size()];
        for (int index = 0; index < ranks.length; index++) {
            int score = Rendezvous.score(hash, targets.get(index).hash());
            ranks[index] = (long) ~score << Integer.SIZE | index;
        }
        Arrays.sort(ranks);
        List<Target> ranked = new ArrayList<>(ranks.length);
        for (long rank : ranks) {
            ranked.add(targets.get((int) rank));
        }
        return ranked;
    }
}
