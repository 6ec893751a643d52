package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;

/**
 * Selects targets for requests.
 *
 * <p>Intended for thousands of adapters of very uneven popularity, few adapter slots, and prompt prefixes that are
 * cached only by the target that processed them. Requests for one adapter go to one home target while it has
 * capacity, so that neither a slot nor a prefix is held twice. If the home is overloaded, another target that holds
 * the adapter is used; the adapter is loaded elsewhere only if all of them are overloaded. Confined to the event
 * loop.
 */
public final class Placement {

    /** Waits within one bucket count as equal; the session then decides, since a target may still cache its prompt. */
    private static final long WAIT_BUCKET_MILLIS = 40;

    /** Estimates are up to this factor too low while a target is slowed down or replaces an adapter. */
    private static final int OLDER_VERSION_WAIT_FACTOR = 2;

    private final TargetRegistry registry;
    private final TargetConditions conditions;
    private final TargetSpeeds speeds;
    private final PlacementSettings settings;
    private final TargetRanking ranking;
    private final WaitEstimate waits;
    private final AdapterHomes adapterHomes;
    private final LeastCompletion leastCompletion;

    /**
     * Creates a placement that treats all targets as equally fast.
     *
     * @param registry the known targets, not null
     * @param conditions the external restrictions on the use of targets, not null
     * @param entryCount the number of running entries, not null
     * @param ownFailureDomain this entry's failure domain, not null
     * @param settings the thresholds, not null
     * @param clock the monotonic clock, not null
     */
    public Placement(
            TargetRegistry registry,
            TargetConditions conditions,
            IntSupplier entryCount,
            FailureDomain ownFailureDomain,
            PlacementSettings settings,
            MonotonicClock clock) {
        this(
                registry,
                conditions,
                TargetSpeeds.uniform(),
                new EntryContext(entryCount, ownFailureDomain, () -> 0),
                settings,
                clock);
    }

    /**
     * Creates a placement.
     *
     * @param registry the known targets, not null
     * @param conditions the external restrictions on the use of targets, not null
     * @param speeds the speeds of the targets, not null
     * @param entry what is known about this entry, not null
     * @param settings the thresholds, not null
     * @param clock the monotonic clock, not null
     */
    public Placement(
            TargetRegistry registry,
            TargetConditions conditions,
            TargetSpeeds speeds,
            EntryContext entry,
            PlacementSettings settings,
            MonotonicClock clock) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.conditions = Objects.requireNonNull(conditions, "conditions");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.ranking = new TargetRanking(speeds);
        this.waits = new WaitEstimate(speeds, settings, clock);
        this.adapterHomes = new AdapterHomes(entry.entryCount(), speeds, settings, clock);
        this.leastCompletion = new LeastCompletion(speeds, entry, settings, clock);
    }

    /**
     * Selects a target for a request.
     *
     * @param request the placement request, not null
     * @return the decision, not null
     */
    public PlacementDecision place(PlacementRequest request) {
        List<Target> ofService = registry.findByService(request.service());
        if (ofService.isEmpty()) {
            return new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_TARGET);
        }
        List<Target> offered = ofAllowedVersions(ofService, request);
        if (offered.isEmpty()) {
            return new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_VERSION);
        }
        List<Target> remaining =
                offered.stream().filter(target -> mayUse(target, request)).toList();
        List<Target> notEvacuated = remaining.stream()
                .filter(target -> !conditions.isEvacuated(target))
                .toList();
        List<Target> sendable =
                notEvacuated.stream().filter(conditions.withinColdLimit()).toList();
        if (sendable.isEmpty()) {
            return new PlacementDecision.Unplaceable(
                    reasonNoneSendable(remaining, notEvacuated), untilAvailable(offered));
        }
        List<Target> available =
                sendable.stream().filter(target -> isAvailable(target, request)).toList();
        if (available.isEmpty()) {
            return sendable.size() < notEvacuated.size()
                    ? new PlacementDecision.Unplaceable(PlacementDecision.Reason.COLD)
                    : new PlacementDecision.Unplaceable(PlacementDecision.Reason.LIMITED, untilAvailable(offered));
        }
        if (request.model().isEmpty()) {
            return placeOnLeastLoaded(request, healthyIfAny(available));
        }
        List<Target> allHolding = available.stream()
                .filter(target -> target.holdsModel(request.model().get()))
                .toList();
        if (allHolding.isEmpty()) {
            return new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_MODEL);
        }
        List<Target> holding = healthyIfAny(allHolding);
        return request.adapter().isPresent() ? placeByAdapter(request, holding) : placeByAffinity(request, holding);
    }

    private static List<Target> ofAllowedVersions(List<Target> targets, PlacementRequest request) {
        VersionRule rule = request.versions();
        if (rule.isAny()) {
            return targets;
        }
        Set<SoftwareVersion> usable = targets.stream()
                .filter(target -> mayUse(target, request))
                .map(target -> target.description().softwareVersion())
                .collect(Collectors.toSet());
        Predicate<SoftwareVersion> allowed = rule.allowed(usable);
        return targets.stream()
                .filter(target -> allowed.test(target.description().softwareVersion()))
                .toList();
    }

    private static boolean mayUse(Target target, PlacementRequest request) {
        return target.acceptsRequests() && !request.excludedTargets().contains(target.id());
    }

    private static PlacementDecision.Reason reasonNoneSendable(List<Target> remaining, List<Target> notEvacuated) {
        if (remaining.isEmpty()) {
            return PlacementDecision.Reason.NONE_LEFT;
        }
        return notEvacuated.isEmpty() ? PlacementDecision.Reason.EVACUATED : PlacementDecision.Reason.COLD;
    }

    private boolean isAvailable(Target target, PlacementRequest request) {
        boolean permitted =
                request.permittedTarget().filter(target.id()::equals).isPresent();
        return !conditions.isResting(target) && (permitted || conditions.isWithinLimit(target));
    }

    /** Gets the time until a target takes requests again; empty if one takes them now, or if none ever will. */
    private Optional<Duration> untilAvailable(List<Target> targets) {
        return targets.stream()
                .filter(Target::acceptsRequests)
                .map(conditions::timeUntilAvailable)
                .min(Comparator.naturalOrder())
                .filter(wait -> !wait.isZero());
    }

    private List<Target> healthyIfAny(List<Target> targets) {
        List<Target> healthy = targets.stream().filter(conditions.healthy()).toList();
        return healthy.isEmpty() ? targets : healthy;
    }

    private List<Target> inUseIfAny(List<Target> targets) {
        List<Target> inUse = targets.stream().filter(conditions::isInUse).toList();
        return inUse.isEmpty() ? targets : inUse;
    }

    private PlacementDecision placeOnLeastLoaded(PlacementRequest request, List<Target> usable) {
        Target target = leastCompletion.select(ranking.rank(request.affinityKey(), inUseIfAny(usable)));
        return new PlacementDecision.Send(
                target, PlacementDecision.Reason.LEAST_LOAD, 0, Optional.empty(), speeds.speedOf(target));
    }

    private PlacementDecision placeByAffinity(PlacementRequest request, List<Target> holding) {
        List<Target> ranked = ranking.rank(request.affinityKey(), inUseIfAny(holding));
        return findFirstNotOverloaded(ranked, request)
                .<PlacementDecision>map(target -> send(target, ranked, request, Optional.empty()))
                .orElseGet(() -> sendWithMinimumWait(ranked, request));
    }

    private PlacementDecision placeByAdapter(PlacementRequest request, List<Target> holding) {
        AdapterName adapter = request.adapter().get();
        List<Target> ranked = ranking.rank(adapter.toString(), holding);
        List<Target> inUse = inUseIfAny(ranked);
        List<Target> order = withRemainingLast(inUse, ranked);
        AdapterHomes.Homes homes = adapterHomes.find(request, inUse, waits.tokensPerSecond(request.service()));
        List<Target> residents = newestVersionResidents(order, request);
        Optional<Target> missingHome =
                findAdditionalHome(request, inUse, homes, newestVersionResidents(inUse, request));
        List<Target> usableHomes =
                homes.targets().stream().filter(residents::contains).toList();
        List<Target> residentsWithoutDelay = withoutPrefillDelay(residents, request);
        Optional<Target> immediate = findMinimumWait(withoutPrefillDelay(usableHomes, request), request)
                .filter(target -> !isOverloaded(target, request))
                .or(() -> findFirstNotOverloaded(residentsWithoutDelay, request));
        if (immediate.isPresent()) {
            return send(immediate.get(), order, request, missingHome);
        }
        if (request.mayBeDeferred() && !residents.isEmpty() && residentsWithoutDelay.isEmpty()) {
            return defer(residents, request);
        }
        Optional<Target> best = findMinimumWait(usableHomes, request)
                .filter(target -> !isOverloaded(target, request))
                .or(() -> findFirstNotOverloaded(residents, request));
        if (best.isPresent()) {
            return send(best.get(), order, request, missingHome);
        }
        return residents.isEmpty() || isWorthLoadingElsewhere(residents, request)
                ? placeWithLoad(request, order, residents)
                : sendWithMinimumWait(residents, request);
    }

    private static List<Target> withRemainingLast(List<Target> first, List<Target> all) {
        if (first.size() == all.size()) {
            return all;
        }
        Set<Target> ordered = new LinkedHashSet<>(first);
        ordered.addAll(all);
        return List.copyOf(ordered);
    }

    private PlacementDecision placeWithLoad(PlacementRequest request, List<Target> order, List<Target> residents) {
        // Abandoning a pending load for one elsewhere would fetch the adapter twice.
        Optional<Target> loading = order.stream()
                .filter(target -> request.loadingTargets().contains(target.id()) && conditions.canLoad(target))
                .findFirst();
        if (loading.isPresent() && !residents.contains(loading.get())) {
            return new PlacementDecision.Load(loading.get());
        }
        Optional<Target> loadable = order.stream()
                .filter(target -> !residents.contains(target)
                        && canLoad(target, request)
                        && isFreeWithinLoadTime(target, request))
                .min(Comparator.comparing(
                                (Target target) -> conditions.limited().test(target))
                        .thenComparing(target -> holdsOlderVersion(target, request)));
        if (loadable.isPresent()) {
            return new PlacementDecision.Load(loadable.get());
        }
        if (!residents.isEmpty()) {
            return sendWithMinimumWait(residents, request);
        }
        // If all targets were slow, waiting at one that can still load the adapter is better than a refusal.
        return order.stream()
                .filter(conditions::canLoad)
                .min(Comparator.comparingLong(target -> expectedWaitMillis(target, request)))
                .<PlacementDecision>map(PlacementDecision.Load::new)
                .orElseGet(() -> new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_HOLDER));
    }

    /**
     * A load elsewhere takes a slot and weight store bandwidth from requests whose adapter is not resident anywhere.
     */
    private boolean isWorthLoadingElsewhere(List<Target> residents, PlacementRequest request) {
        return residents.stream().noneMatch(target -> isFreeWithinLoadTime(target, request));
    }

    /**
     * Returns whether the prompts pending at a target will be processed by the time a load elsewhere completes.
     *
     * <p>Entries estimate a target's load differently, and each one that passes over the home would fetch the same
     * adapter elsewhere. A momentary slowdown may have ended by the time a load completes, so it does not count.
     */
    private boolean isFreeWithinLoadTime(Target target, PlacementRequest request) {
        return !request.saturatedTargets().contains(target.id())
                && waits.usualMillis(target, request)
                        <= request.objective().toMillis() * settings.loadElsewhereWaitFraction();
    }

    /**
     * Computes the delay after which a prompt is within the bound on the tokens that this entry sends to a target in a window.
     *
     * @param target the target, not null
     * @param promptTokens the tokens of the prompt
     * @return the delay, zero if the prompt may be sent now, not null
     */
    public Duration ownPrefillDelay(Target target, long promptTokens) {
        return waits.prefillDelay(target, promptTokens);
    }

    /**
     * Gets the estimated prefill rate of the targets of a service, without the fixed overhead before the first part.
     *
     * @param service the service, not null
     * @return the tokens per millisecond, above 0; the initial estimate until enough prompts were recorded
     */
    public double netPrefillTokensPerMilli(String service) {
        return waits.netTokensPerMilli(service);
    }

    /**
     * Queries whether a target that was selected earlier may still be sent a request.
     *
     * @param target the target, not null
     * @return true if it may
     */
    public boolean isSendable(Target target) {
        return target.acceptsRequests()
                && !conditions.isEvacuated(target)
                && conditions.withinColdLimit().test(target)
                && !conditions.isResting(target);
    }

    /**
     * Records the prefill time of a prompt that was sent while no other prompt of this entry was pending at the target.
     *
     * @param target the target, not null
     * @param promptTokens the tokens of the prompt
     * @param timeToFirstPart the time from sending the prompt to the first part of its answer, not null
     */
    public void recordPrefill(Target target, long promptTokens, Duration timeToFirstPart) {
        waits.recordPrefill(target, promptTokens, timeToFirstPart);
    }

    private List<Target> withoutPrefillDelay(List<Target> targets, PlacementRequest request) {
        return targets.stream()
                .filter(target ->
                        waits.prefillDelay(target, request.promptTokens()).isZero())
                .toList();
    }

    private PlacementDecision defer(List<Target> targets, PlacementRequest request) {
        Duration delay = targets.stream()
                .map(target -> waits.prefillDelay(target, request.promptTokens()))
                .min(Comparator.naturalOrder())
                .orElseThrow();
        return new PlacementDecision.Defer(delay);
    }

    private boolean canLoad(Target target, PlacementRequest request) {
        return conditions.canLoad(target) && !request.slowLoadingTargets().contains(target.id());
    }

    /**
     * Finds a target at which the adapter, or its newest version, should be loaded for future requests.
     *
     * <p>Nothing is loaded while targets as fast as its homes should be hold the adapter, even if they are not its
     * homes. When targets join or leave, the homes of many adapters change, and loading all of these again would
     * overload the weight store. A newer version replaces an older one at a target only after the requests running
     * there have ended, and blocks all other loads there until then; so it is loaded where no version is resident.
     */
    private Optional<Target> findAdditionalHome(
            PlacementRequest request, List<Target> order, AdapterHomes.Homes homes, List<Target> residents) {
        boolean newestResident =
                residents.stream().anyMatch(target -> residentVersion(target, request) >= request.newestVersion());
        if (newestResident && adapterHomes.suffice(residents, homes)) {
            return Optional.empty();
        }
        List<Target> candidates = newestResident ? homes.targets() : order;
        return candidates.stream()
                .filter(target -> !residents.contains(target)
                        && canLoad(target, request)
                        && !conditions.limited().test(target)
                        && !holdsOlderVersion(target, request))
                .findFirst();
    }

    private static boolean holdsOlderVersion(Target target, PlacementRequest request) {
        return target.residentVersion(request.adapter().get()).isPresent()
                && residentVersion(target, request) < request.newestVersion();
    }

    private static long residentVersion(Target target, PlacementRequest request) {
        return target.residentVersion(request.adapter().get()).orElse(0);
    }

    private Optional<Target> findMinimumWait(List<Target> targets, PlacementRequest request) {
        List<Target> bySession = ranking.rank(request.affinityKey(), targets);
        return bySession.stream()
                .min(Comparator.comparingLong(target -> expectedWaitMillis(target, request) / WAIT_BUCKET_MILLIS));
    }

    /**
     * Records the arrival of a request for an adapter.
     *
     * @param adapter the adapter, not null
     * @param promptTokens the tokens of its prompt
     */
    public void recordRequest(AdapterName adapter, long promptTokens) {
        adapterHomes.recordRequest(adapter, promptTokens);
    }

    /**
     * Finds the targets that hold the newest version or, if there are none, those that hold an older permitted
     * version.
     */
    private List<Target> newestVersionResidents(List<Target> order, PlacementRequest request) {
        List<Target> residents =
                order.stream().filter(target -> isResident(target, request)).toList();
        List<Target> newest = residents.stream()
                .filter(target -> residentVersion(target, request) >= request.newestVersion())
                .toList();
        return newest.isEmpty() ? residents : newest;
    }

    private boolean isResident(Target target, PlacementRequest request) {
        AdapterName adapter = request.adapter().get();
        return target.holds(adapter, request.minimumVersion())
                && (target.holds(adapter, request.newestVersion()) || beginsInTime(target, request));
    }

    /** Returns whether a target begins a request while older versions may be used, even if it takes longer than expected. */
    private boolean beginsInTime(Target target, PlacementRequest request) {
        return request.olderVersionsLeft()
                .filter(left -> expectedWaitMillis(target, request) * OLDER_VERSION_WAIT_FACTOR > left.toMillis())
                .isEmpty();
    }

    private Optional<Target> findFirstNotOverloaded(List<Target> order, PlacementRequest request) {
        return order.stream().filter(target -> !isOverloaded(target, request)).findFirst();
    }

    private boolean isOverloaded(Target target, PlacementRequest request) {
        return request.saturatedTargets().contains(target.id())
                || expectedWaitMillis(target, request)
                        > request.objective().toMillis() * settings.overloadWaitFraction();
    }

    private PlacementDecision send(
            Target target, List<Target> order, PlacementRequest request, Optional<Target> alsoLoad) {
        PlacementDecision.Reason reason =
                order.get(0) == target ? PlacementDecision.Reason.HOME : PlacementDecision.Reason.RESIDENT;
        return new PlacementDecision.Send(
                target, reason, expectedWaitMillis(target, request), alsoLoad, speeds.speedOf(target));
    }

    private PlacementDecision sendWithMinimumWait(List<Target> targets, PlacementRequest request) {
        Target best = targets.stream()
                .min(Comparator.comparing(
                                (Target target) -> request.saturatedTargets().contains(target.id()))
                        .thenComparing(target -> expectedWaitMillis(target, request)))
                .orElseThrow();
        return new PlacementDecision.Send(
                best,
                PlacementDecision.Reason.LEAST_WAIT,
                expectedWaitMillis(best, request),
                Optional.empty(),
                speeds.speedOf(best));
    }

    /**
     * Estimates the time until a target answers a request with the first part.
     *
     * <p>Assumes that the prompts of other entries are as long as those of this entry.
     *
     * @param target the target, not null
     * @param request the placement request, not null
     * @return the estimated wait in milliseconds
     */
    public long expectedWaitMillis(Target target, PlacementRequest request) {
        return waits.currentMillis(target, request);
    }
}
