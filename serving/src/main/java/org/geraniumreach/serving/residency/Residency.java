package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.MonotonicClock;

/**
 * Manages a target's adapter slots: which adapters are resident, which to evict and which to load next.
 *
 * <p>Invariants: resident and loading adapters together never exceed the slots; a pinned adapter is never evicted; an
 * adapter has at most one load in progress, shared by all requests that wait for it; each registered request gets
 * exactly one of a pin, a failure and a cancellation. After the engine's restart no adapter is resident, earlier pins
 * and load commands are void, and waiting requests keep waiting. Safe for use by several threads, under its own lock.
 */
public final class Residency {

    private static final AccountId SINGLE_ACCOUNT = AccountId.of("only");
    private static final int USE_COUNTS_PER_SLOT = 64;
    private static final double LOAD_TIME_SMOOTHING = 0.2;

    private final ResidencySettings settings;
    private final FleetLoads fleetLoads;
    private final MonotonicClock clock;
    private final Map<AdapterReference, Slot> slots = new HashMap<>();
    private final Map<AdapterReference, LoadInProgress> loadsInProgress = new HashMap<>();
    private final WaitingRequests waitingRequests = new WaitingRequests();
    private final UseCounts useCounts;
    private final LoadScheduler loadScheduler;
    private final LoadBackoff loadBackoff;
    private double expectedLoadNanos;
    private long engineIncarnation;
    private long engineEpoch;
    private long lastCommandNumber;

    private Residency(ResidencySettings settings, FleetLoads fleetLoads, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.fleetLoads = Objects.requireNonNull(fleetLoads, "fleetLoads");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.useCounts = new UseCounts(settings.usesHalfLife().toNanos(), USE_COUNTS_PER_SLOT * settings.slots());
        this.loadScheduler = settings.loading().createScheduler();
        this.loadBackoff = new LoadBackoff(settings.firstBackoff(), settings.longestBackoff());
        this.expectedLoadNanos = settings.expectedLoad().toNanos();
    }

    /**
     * Creates a residency without resident adapters; call {@link #synchronise} to pass in the engine's state.
     *
     * @param settings the settings, not null
     * @param fleetLoads the other companions' loads, not null
     * @param clock the clock, not null
     * @return the residency, not null
     */
    public static Residency create(ResidencySettings settings, FleetLoads fleetLoads, MonotonicClock clock) {
        return new Residency(settings, fleetLoads, clock);
    }

    private record LoadInProgress(AdapterLoadCommand command, long startedNanos) {}

    /**
     * Registers a request, for a fleet that serves a single client account.
     *
     * @param attempt the request's attempt, not null
     * @param adapter its adapter, not null
     * @param tokens the tokens that it needs
     * @return whether its adapter is available, not null
     * @throws IllegalArgumentException if the attempt is already registered
     */
    public AdapterRequestResult request(AttemptId attempt, AdapterReference adapter, long tokens) {
        return request(attempt, SINGLE_ACCOUNT, adapter, tokens);
    }

    /**
     * Registers a request, unless the load of its adapter failed recently.
     *
     * @param attempt the request's attempt, not null
     * @param account its client account, not null
     * @param adapter its adapter, not null
     * @param tokens the tokens that it needs
     * @return whether its adapter is available, not null
     * @throws IllegalArgumentException if the attempt is already registered
     */
    public synchronized AdapterRequestResult request(
            AttemptId attempt, AccountId account, AdapterReference adapter, long tokens) {
        long now = clock.nanos();
        boolean ready = isReady(adapter);
        Optional<Duration> backoff = loadBackoff.remainingBackoff(adapter, now);
        if (!ready && backoff.isPresent()) {
            return new AdapterRequestResult(AdapterRequestResult.State.REFUSED, backoff.get());
        }
        if (!waitingRequests.add(attempt, account, adapter, tokens, now)) {
            throw new IllegalArgumentException("attempt is already registered: " + attempt);
        }
        useCounts.recordUse(adapter, now);
        if (ready) {
            return new AdapterRequestResult(AdapterRequestResult.State.READY, Duration.ZERO);
        }
        return new AdapterRequestResult(AdapterRequestResult.State.WAITING, expectedWait(adapter, now));
    }

    private Duration expectedWait(AdapterReference adapter, long now) {
        LoadInProgress load = loadsInProgress.get(adapter);
        if (load != null) {
            return Duration.ofNanos((long) Math.max(0, expectedLoadNanos - (now - load.startedNanos)));
        }
        int adaptersAhead = 0;
        for (AdapterReference other : waitingRequests.adapters()) {
            adaptersAhead += isReady(other) || other.equals(adapter) ? 0 : 1;
        }
        double rounds = 1 + (double) adaptersAhead / settings.loadsAtOnce();
        return Duration.ofNanos((long) (rounds * expectedLoadNanos));
    }

    /**
     * Returns whether requests for an adapter can run immediately.
     *
     * @param adapter the adapter, not null
     * @return true if it is resident and its slot is not retiring
     */
    public synchronized boolean isReady(AdapterReference adapter) {
        Slot slot = slots.get(adapter);
        return slot != null && !slot.isRetiring();
    }

    /**
     * Pins the adapter of a registered request, just before the request runs.
     *
     * @param attempt the request's attempt, not null
     * @param adapter its adapter, not null
     * @return the pin, or empty if the adapter has become unavailable; the request then keeps waiting
     */
    public synchronized Optional<Pin> pin(AttemptId attempt, AdapterReference adapter) {
        if (!isReady(adapter)) {
            return Optional.empty();
        }
        waitingRequests.remove(attempt);
        slots.get(adapter).pin(clock.nanos());
        return Optional.of(new Pin(this, adapter, engineEpoch));
    }

    synchronized void unpin(AdapterReference adapter, long pinEpoch) {
        if (pinEpoch == engineEpoch) {
            slots.get(adapter).unpin(clock.nanos());
        }
    }

    /**
     * Removes a waiting request that was cancelled or whose deadline has passed.
     *
     * @param attempt the request's attempt, not null
     * @return false if it is not waiting
     */
    public synchronized boolean cancel(AttemptId attempt) {
        return waitingRequests.remove(attempt);
    }

    /**
     * Chooses the loads to start now; the caller must execute each of them.
     *
     * @return the load commands, not null
     */
    public synchronized List<AdapterLoadCommand> startLoads() {
        if (!canStartLoads()) {
            return List.of();
        }
        long now = clock.nanos();
        List<AdapterLoadCommand> started = new ArrayList<>();
        List<AwaitedAdapter> candidates = adaptersToLoad(now);
        if (candidates.isEmpty()) {
            slots.values().forEach(Slot::cancelRetirement);
            return started;
        }
        while (loadsInProgress.size() < settings.loadsAtOnce()) {
            Optional<AwaitedAdapter> next = loadScheduler.next(candidates);
            Optional<AdapterLoadCommand> command =
                    next.filter(this::isWithinFleetLimit).flatMap(adapter -> createCommand(adapter, now));
            if (command.isEmpty()) {
                break;
            }
            loadScheduler.onStarted(next.get());
            candidates.remove(next.get());
            started.add(command.get());
        }
        return started;
    }

    /* Avoids the scan over all awaited adapters when no load could start. */
    private boolean canStartLoads() {
        if (loadsInProgress.size() >= settings.loadsAtOnce()) {
            return false;
        }
        return loadsInProgress.isEmpty()
                || loadsInProgress.size() + fleetLoads.loadsInProgress() < settings.loadsFleetWide();
    }

    private List<AwaitedAdapter> adaptersToLoad(long now) {
        List<AwaitedAdapter> candidates = new ArrayList<>();
        for (AdapterReference adapter : waitingRequests.adapters()) {
            if (!slots.containsKey(adapter) && !loadsInProgress.containsKey(adapter)) {
                candidates.add(waitingRequests.summarize(adapter, now));
            }
        }
        return candidates;
    }

    /*
     * Above the fleet-wide limit each load slows all others. The companions with the most urgent loads go first. A load
     * that has waited longer than the patience starts in any case, since reports may be lost and a limit that is never
     * released would stop all loads.
     */
    private boolean isWithinFleetLimit(AwaitedAdapter next) {
        if (next.longestWaitNanos() >= settings.patience().toNanos() && loadsInProgress.isEmpty()) {
            return true;
        }
        int others = fleetLoads.loadsInProgress() + fleetLoads.countMoreUrgent(next.totalWaitNanos());
        return loadsInProgress.size() + others < settings.loadsFleetWide();
    }

    private Optional<AdapterLoadCommand> createCommand(AwaitedAdapter next, long now) {
        Optional<AdapterReference> victim = Optional.empty();
        if (slots.size() + loadsInProgress.size() >= settings.slots()) {
            victim = chooseVictim(now);
            if (victim.isEmpty()) {
                retireSlotFor(next, now);
                return Optional.empty();
            }
            slots.remove(victim.get());
        }
        AdapterLoadCommand command = new AdapterLoadCommand(++lastCommandNumber, next.adapter(), victim);
        loadsInProgress.put(next.adapter(), new LoadInProgress(command, now));
        return Optional.of(command);
    }

    private Optional<AdapterReference> chooseVictim(long now) {
        Slot lowest = null;
        double lowestValue = 0;
        for (Slot slot : slots.values()) {
            if (slot.isPinned() || !slot.isRetiring() && waitingRequests.hasAny(slot.adapter())) {
                continue;
            }
            double value = slot.isRetiring() ? Double.NEGATIVE_INFINITY : retentionValue(slot, now);
            if (lowest == null || value < lowestValue) {
                lowest = slot;
                lowestValue = value;
            }
        }
        return Optional.ofNullable(lowest).map(Slot::adapter);
    }

    private double retentionValue(Slot slot, long now) {
        return settings.eviction()
                .retentionValue(new EvictionCandidate(
                        slot.adapter(), useCounts.uses(slot.adapter(), now), now - slot.lastUsedNanos(), (long)
                                expectedLoadNanos));
    }

    /*
     * If every slot is constantly in use, requests for other adapters would wait forever. The slot with the lowest
     * retention value then takes no new requests and is evicted once its running requests have ended; none of them is
     * aborted.
     */
    private void retireSlotFor(AwaitedAdapter next, long now) {
        if (next.longestWaitNanos() < settings.patience().toNanos()) {
            return;
        }
        Slot lowest = null;
        for (Slot slot : slots.values()) {
            if (slot.isRetiring()) {
                return;
            }
            if (lowest == null || retentionValue(slot, now) < retentionValue(lowest, now)) {
                lowest = slot;
            }
        }
        if (lowest != null) {
            lowest.retire();
        }
    }

    /**
     * Called when a load command has been executed.
     *
     * @param command the command, not null
     * @return false if it was issued before the engine's restart and is ignored
     */
    public synchronized boolean onLoaded(AdapterLoadCommand command) {
        LoadInProgress load = removeLoadInProgress(command);
        if (load == null) {
            return false;
        }
        long now = clock.nanos();
        expectedLoadNanos += LOAD_TIME_SMOOTHING * (now - load.startedNanos - expectedLoadNanos);
        loadBackoff.onSucceeded(command.adapter());
        slots.put(command.adapter(), new Slot(command.adapter(), now));
        return true;
    }

    /**
     * Called when a load command has failed. The adapter is absent, and requests for it are refused during the
     * back-off.
     *
     * @param command the command, not null
     * @return the requests that waited for the adapter, which are removed and which the caller must fail, not null
     */
    public synchronized List<AttemptId> onLoadFailed(AdapterLoadCommand command) {
        if (removeLoadInProgress(command) == null) {
            return List.of();
        }
        loadBackoff.onFailed(command.adapter(), clock.nanos());
        return waitingRequests.removeAll(command.adapter());
    }

    private LoadInProgress removeLoadInProgress(AdapterLoadCommand command) {
        LoadInProgress load = loadsInProgress.get(command.adapter());
        if (load == null || load.command.number() != command.number()) {
            return null;
        }
        return loadsInProgress.remove(command.adapter());
    }

    /**
     * Corrects the known residency from the engine's own state.
     *
     * @param incarnation the engine's incarnation
     * @param held the adapters that it holds, not null
     * @param askedNanos the clock's time when the engine was asked; adapters loaded later are kept
     * @return true if the engine has restarted since the last call
     */
    public synchronized boolean synchronise(long incarnation, Set<AdapterReference> held, long askedNanos) {
        boolean restarted = incarnation != engineIncarnation;
        if (restarted) {
            engineIncarnation = incarnation;
            engineEpoch++;
            slots.clear();
            loadsInProgress.clear();
        }
        long now = clock.nanos();
        slots.values()
                .removeIf(slot ->
                        !held.contains(slot.adapter()) && !slot.isPinned() && slot.loadedNanos() - askedNanos < 0);
        if (loadsInProgress.isEmpty()) {
            for (AdapterReference adapter : held) {
                if (slots.size() < settings.slots()) {
                    slots.computeIfAbsent(adapter, key -> new Slot(key, now));
                }
            }
        }
        return restarted;
    }

    public synchronized Set<AdapterReference> resident() {
        return new HashSet<>(slots.keySet());
    }

    /**
     * Gets the adapters that are loading or waiting to be loaded.
     *
     * @return the adapters, not null
     */
    public synchronized Set<AdapterReference> loading() {
        Set<AdapterReference> loading = new HashSet<>(loadsInProgress.keySet());
        for (AdapterReference adapter : waitingRequests.adapters()) {
            if (!slots.containsKey(adapter)) {
                loading.add(adapter);
            }
        }
        return loading;
    }

    public synchronized int loadsInProgress() {
        return loadsInProgress.size();
    }

    /**
     * Gets the urgency of the loads that wait here, to be reported to the other companions.
     *
     * @return the largest sum of waiting times, in nanoseconds, of the requests for one adapter; 0 if no load waits
     */
    public synchronized long waitingWorkNanos() {
        long longest = 0;
        for (AwaitedAdapter adapter : adaptersToLoad(clock.nanos())) {
            longest = Math.max(longest, adapter.totalWaitNanos());
        }
        return longest;
    }

    /**
     * Gets the number of adapters waiting to be loaded.
     *
     * @return the number
     */
    public synchronized int waitingLoads() {
        return adaptersToLoad(clock.nanos()).size();
    }
}
