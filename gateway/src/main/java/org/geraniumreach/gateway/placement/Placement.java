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
    private static final long SAME_WAIT = 40;

    private final AdapterDemand demand;
    private final Map<String, ReadingSpeed> speeds = new HashMap<>();
    private final TargetRegistry registry;
    private final TargetConditions conditions;
    private final IntSupplier entries;
    private final FailureDomain here;
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
        this.entries = Objects.requireNonNull(entries, "entries");
        this.here = Objects.requireNonNull(here, "here");
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
        List<Target> offering = registry.ofService(need.service());
        if (offering.isEmpty()) {
            return new PlacementDecision.Nowhere(PlacementDecision.Reason.NO_TARGET);
        }
        List<Target> left = offering.stream()
                .filter(target -> target.takesWork() && !need.excluded().contains(target.id()))
                .toList();
        List<Target> open =
                left.stream().filter(target -> !conditions.isEvacuated(target)).toList();
        List<Target> sendable =
                open.stream().filter(conditions.withinColdLimit()).toList();
        if (sendable.isEmpty()) {
            return new PlacementDecision.Nowhere(noneSendable(left, open));
        }
        List<Target> usable = healthyIfAny(sendable);
        if (need.model().isEmpty()) {
            return leastLoaded(need, usable);
        }
        List<Target> holding = usable.stream()
                .filter(target -> target.holdsModel(need.model().get()))
                .toList();
        if (holding.isEmpty()) {
            return new PlacementDecision.Nowhere(PlacementDecision.Reason.NO_MODEL);
        }
        return need.adapter().isPresent() ? ofAdapter(need, holding) : byAffinity(need, holding);
    }

    private static PlacementDecision.Reason noneSendable(List<Target> left, List<Target> open) {
        if (left.isEmpty()) {
            return PlacementDecision.Reason.NONE_LEFT;
        }
        return open.isEmpty() ? PlacementDecision.Reason.EVACUATED : PlacementDecision.Reason.COLD;
    }

    private List<Target> healthyIfAny(List<Target> targets) {
        List<Target> healthy = targets.stream().filter(conditions.healthy()).toList();
        return healthy.isEmpty() ? targets : healthy;
    }

    private List<Target> stayingIfAny(List<Target> targets) {
        List<Target> staying = targets.stream().filter(conditions::isStaying).toList();
        return staying.isEmpty() ? targets : staying;
    }

    private PlacementDecision leastLoaded(PlacementRequest need, List<Target> usable) {
        Target best = null;
        double bestLoad = Double.MAX_VALUE;
        for (Target target : order(need.affinity(), stayingIfAny(usable))) {
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
        double distance = target.description().failureDomain().equals(here) ? 0 : 0.1;
        return (load + distance) / target.description().slots();
    }

    private PlacementDecision byAffinity(PlacementRequest need, List<Target> holding) {
        List<Target> order = order(need.affinity(), stayingIfAny(holding));
        return firstNotCrowded(order, need)
                .<PlacementDecision>map(target -> send(target, order, need, Optional.empty()))
                .orElseGet(() -> leastWait(order, need));
    }

    private PlacementDecision ofAdapter(PlacementRequest need, List<Target> holding) {
        AdapterName adapter = need.adapter().get();
        List<Target> ranked = order(adapter.toString(), holding);
        List<Target> staying = stayingIfAny(ranked);
        List<Target> order = withOthersLast(staying, ranked);
        List<Target> homes = staying.subList(0, Math.min(staying.size(), homes(need, staying.size())));
        List<Target> residents = newestFirst(order, need);
        Optional<Target> missingHome = loaderFor(need, staying, homes, newestFirst(staying, need));
        List<Target> usableHomes = homes.stream().filter(residents::contains).toList();
        List<Target> residentsWithRoom = withRoom(residents, need);
        Optional<Target> roomy = leastWaiting(withRoom(usableHomes, need), need)
                .filter(target -> !isCrowded(target, need))
                .or(() -> firstNotCrowded(residentsWithRoom, need));
        if (roomy.isPresent()) {
            return send(roomy.get(), order, need, missingHome);
        }
        if (need.mayWait() && !residents.isEmpty() && residentsWithRoom.isEmpty()) {
            return later(residents, need);
        }
        Optional<Target> best = leastWaiting(usableHomes, need)
                .filter(target -> !isCrowded(target, need))
                .or(() -> firstNotCrowded(residents, need));
        if (best.isPresent()) {
            return send(best.get(), order, need, missingHome);
        }
        return residents.isEmpty() || isWorthLoadingElsewhere(residents, need)
                ? byLoad(need, order, residents)
                : leastWait(residents, need);
    }

    private static List<Target> withOthersLast(List<Target> first, List<Target> all) {
        if (first.size() == all.size()) {
            return all;
        }
        Set<Target> together = new LinkedHashSet<>(first);
        together.addAll(all);
        return List.copyOf(together);
    }

    private PlacementDecision byLoad(PlacementRequest need, List<Target> order, List<Target> residents) {
        // Each load that is given up for one elsewhere has the adapter fetched twice.
        Optional<Target> asked = order.stream()
                .filter(target -> need.loaders().contains(target.id()) && conditions.canLoad(target))
                .findFirst();
        if (asked.isPresent() && !residents.contains(asked.get())) {
            return new PlacementDecision.Load(asked.get());
        }
        Optional<Target> loadable = order.stream()
                .filter(target -> !residents.contains(target) && canLoad(target, need) && isFreeAfterLoad(target, need))
                .min(Comparator.comparing(target -> holdsOlder(target, need)));
        if (loadable.isPresent()) {
            return new PlacementDecision.Load(loadable.get());
        }
        if (!residents.isEmpty()) {
            return leastWait(residents, need);
        }
        // Where every target was slow once, waiting on at one that may still load is better than being sent away.
        return order.stream()
                .filter(conditions::canLoad)
                .min(Comparator.comparingLong(target -> expectedWaitMillis(target, need)))
                .<PlacementDecision>map(PlacementDecision.Load::new)
                .orElseGet(() -> new PlacementDecision.Nowhere(PlacementDecision.Reason.NO_HOLDER));
    }

    /** A load elsewhere takes a place and a share of the weight store, which those without any target wait for. */
    private boolean isWorthLoadingElsewhere(List<Target> residents, PlacementRequest need) {
        return residents.stream().noneMatch(target -> isFreeAfterLoad(target, need));
    }

    /**
     * What is ahead now is read by the time the load is done. Entries see a target's crowd differently, and each that passes over
     * the home has the same adapter fetched somewhere else.
     */
    private boolean isFreeAfterLoad(Target target, PlacementRequest need) {
        return !need.saturated().contains(target.id())
                && expectedWaitMillis(target, need) <= need.objective().toMillis() * settings.loadElsewherePart();
    }

    private Duration readingRoom(Target target, PlacementRequest need) {
        return target.readingRoom(
                need.promptTokens(), readingTokens(need.service()), settings.readingWindow(), clock.nanos());
    }

    private long readingTokens(String service) {
        double readable = speed(service) * settings.readingWindow().toMillis();
        return (long) (readable * settings.readingPart());
    }

    private double speed(String service) {
        return learnt(service).tokensPerMilli();
    }

    private ReadingSpeed learnt(String service) {
        return speeds.computeIfAbsent(service, missing -> new ReadingSpeed());
    }

    /**
     * Gets the speed at which the targets of a service read prompts, without the steps until the first part, as far as it was learnt.
     *
     * @param service the service, not null
     * @return the tokens in a millisecond, above 0
     */
    public double readingSpeed(String service) {
        return learnt(service).netTokensPerMilli();
    }

    /**
     * Queries whether a target that was selected before may still be sent a request.
     *
     * @param target the target, not null
     * @return true if it may
     */
    public boolean isSendable(Target target) {
        return target.takesWork()
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
    public void promptRead(Target target, long promptTokens, Duration took) {
        learnt(target.description().service()).read(promptTokens, took);
    }

    private List<Target> withRoom(List<Target> targets, PlacementRequest need) {
        return targets.stream()
                .filter(target -> readingRoom(target, need).isZero())
                .toList();
    }

    private PlacementDecision later(List<Target> targets, PlacementRequest need) {
        Duration least = targets.stream()
                .map(target -> readingRoom(target, need))
                .min(Comparator.naturalOrder())
                .orElseThrow();
        return new PlacementDecision.Later(least);
    }

    private boolean canLoad(Target target, PlacementRequest need) {
        return conditions.canLoad(target) && !need.slowLoaders().contains(target.id());
    }

    /**
     * Finds where the adapter, or its newest version, should be loaded for requests to come.
     *
     * <p>As many targets as there should be homes are enough, also where they are not the homes: when targets come and go the homes
     * of a part of all adapters change, and loading each of these again at its new home fills the weight store. A newer version replaces an
     * older one at the same target only once the runs there have ended, and nothing else can be loaded there meanwhile; so it is
     * loaded where no version is.
     */
    private Optional<Target> loaderFor(
            PlacementRequest need, List<Target> order, List<Target> homes, List<Target> residents) {
        boolean newestThere = residents.stream().anyMatch(target -> version(target, need) >= need.newestVersion());
        if (newestThere && residents.size() >= homes.size()) {
            return Optional.empty();
        }
        List<Target> candidates = newestThere ? homes : order;
        return candidates.stream()
                .filter(target -> !residents.contains(target) && canLoad(target, need) && !holdsOlder(target, need))
                .findFirst();
    }

    private static boolean holdsOlder(Target target, PlacementRequest need) {
        return target.residentVersion(need.adapter().get()).isPresent() && version(target, need) < need.newestVersion();
    }

    private static long version(Target target, PlacementRequest need) {
        return target.residentVersion(need.adapter().get()).orElse(0);
    }

    /**
     * Tells at how many targets an adapter should be.
     *
     * <p>One adapter may have a fifth of all requests, more than one target reads without making its streams pause. How much of it one
     * target takes depends on what all of them read: on a calm day a second home costs a load and a place for nothing, on the
     * heaviest it keeps the home's other streams going.
     */
    private int homes(PlacementRequest need, int targets) {
        long now = clock.nanos();
        int everybody = Math.max(1, entries.getAsInt());
        double readable = speed(need.service()) * MILLIS_PER_SECOND;
        double busy = demand.perSecond(now) * everybody / (readable * targets);
        double share = settings.readingShare().at(busy);
        double others = demand.perSecondBeside(need.adapter().get(), need.promptTokens(), now);
        return Math.max(1, (int) Math.ceil(others * everybody / (readable * share)));
    }

    private Optional<Target> leastWaiting(List<Target> targets, PlacementRequest need) {
        List<Target> bySession = order(need.affinity(), targets);
        return bySession.stream().min(Comparator.comparingLong(target -> expectedWaitMillis(target, need) / SAME_WAIT));
    }

    /**
     * Notes that a request for an adapter has come.
     *
     * @param adapter the adapter, not null
     * @param promptTokens the tokens of its prompt
     */
    public void requested(AdapterName adapter, long promptTokens) {
        demand.asked(adapter, promptTokens, clock.nanos());
    }

    /** Those that hold the newest version, or, as long as an older one may run, those that hold that. */
    private static List<Target> newestFirst(List<Target> order, PlacementRequest need) {
        List<Target> residents =
                order.stream().filter(target -> isResident(target, need)).toList();
        List<Target> newest = residents.stream()
                .filter(target -> version(target, need) >= need.newestVersion())
                .toList();
        return newest.isEmpty() ? residents : newest;
    }

    private static boolean isResident(Target target, PlacementRequest need) {
        OptionalLong version = target.residentVersion(need.adapter().get());
        return version.isPresent() && version.getAsLong() >= need.leastVersion();
    }

    private Optional<Target> firstNotCrowded(List<Target> order, PlacementRequest need) {
        return order.stream().filter(target -> !isCrowded(target, need)).findFirst();
    }

    private boolean isCrowded(Target target, PlacementRequest need) {
        return need.saturated().contains(target.id())
                || expectedWaitMillis(target, need) > need.objective().toMillis() * settings.crowdedPart();
    }

    private PlacementDecision send(
            Target target, List<Target> order, PlacementRequest need, Optional<Target> alsoLoad) {
        PlacementDecision.Reason reason =
                order.get(0) == target ? PlacementDecision.Reason.HOME : PlacementDecision.Reason.RESIDENT;
        return new PlacementDecision.Send(target, reason, expectedWaitMillis(target, need), alsoLoad);
    }

    private PlacementDecision leastWait(List<Target> targets, PlacementRequest need) {
        Target best = targets.stream()
                .min(Comparator.comparing((Target target) -> need.saturated().contains(target.id()))
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
        double reading = (target.promptTokensAhead() * others + need.promptTokens()) / speed(need.service());
        double queued = target.waiting(now, settings.reportLifetime())
                * (double) settings.slotTime().toMillis();
        return (long) (reading + queued);
    }

    /** Ranks targets by rendezvous; equal scores keep the order of the list, which is that of the names. */
    private static List<Target> order(String key, List<Target> targets) {
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
