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
 * Which adapters a target holds, what to evict and what to load next.
 *
 * <p>Invariants: resident and loading adapters together never exceed the slots; an adapter with a pin is never evicted; an
 * adapter has at most one load in transit, shared by all who wait for it; each request that was taken in gets exactly one
 * of a pin, a failure and its own withdrawal. After the engine's restart nothing is resident, pins and orders from before
 * count for nothing, and waiting requests wait on. Safe for use by several threads, under its own lock.
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

    private Residency(ResidencySettings settings, FleetLoads fleet, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.fleetLoads = Objects.requireNonNull(fleet, "fleet");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.useCounts = new UseCounts(settings.usesHalfLife().toNanos(), USE_COUNTS_PER_SLOT * settings.slots());
        this.loadScheduler = settings.loading().createScheduler();
        this.loadBackoff = new LoadBackoff(settings.firstBackoff(), settings.longestBackoff());
        this.expectedLoadNanos = settings.expectedLoad().toNanos();
    }

    /**
     * Makes one for a target of which nothing is known yet; call {@link #synchronise} with its state.
     *
     * @param settings how to manage it, not null
     * @param fleet the other companions' loads, not null
     * @param clock the clock, not null
     * @return the residency, not null
     */
    public static Residency create(ResidencySettings settings, FleetLoads fleet, MonotonicClock clock) {
        return new Residency(settings, fleet, clock);
    }

    private record LoadInProgress(LoadOrder command, long startedNanos) {}

    /**
     * Takes a request in, for a fleet that serves one client account.
     *
     * @param attempt the request, not null
     * @param adapter its adapter, not null
     * @param work the tokens that it needs
     * @return whether its adapter is there, not null
     * @throws IllegalArgumentException if the attempt was taken in already
     */
    public Answer request(AttemptId attempt, AdapterReference adapter, long work) {
        return request(attempt, SINGLE_ACCOUNT, adapter, work);
    }

    /**
     * Takes a request in, unless its adapter's load failed a moment ago.
     *
     * @param attempt the request, not null
     * @param account for whom, not null
     * @param adapter its adapter, not null
     * @param work the tokens that it needs
     * @return whether its adapter is there, not null
     * @throws IllegalArgumentException if the attempt was taken in already
     */
    public synchronized Answer request(AttemptId attempt, AccountId account, AdapterReference adapter, long work) {
        long now = clock.nanos();
        boolean ready = isReady(adapter);
        Optional<Duration> backoff = loadBackoff.remainingBackoff(adapter, now);
        if (!ready && backoff.isPresent()) {
            return new Answer(Answer.State.REFUSED, backoff.get());
        }
        if (!waitingRequests.add(attempt, account, adapter, work, now)) {
            throw new IllegalArgumentException("attempt taken in already: " + attempt);
        }
        useCounts.recordUse(adapter, now);
        if (ready) {
            return new Answer(Answer.State.READY, Duration.ZERO);
        }
        return new Answer(Answer.State.WAITING, expectedWait(adapter, now));
    }

    private Duration expectedWait(AdapterReference adapter, long now) {
        LoadInProgress transit = loadsInProgress.get(adapter);
        if (transit != null) {
            return Duration.ofNanos((long) Math.max(0, expectedLoadNanos - (now - transit.startedNanos)));
        }
        int ahead = 0;
        for (AdapterReference other : waitingRequests.adapters()) {
            ahead += isReady(other) || other.equals(adapter) ? 0 : 1;
        }
        double rounds = 1 + (double) ahead / settings.loadsAtOnce();
        return Duration.ofNanos((long) (rounds * expectedLoadNanos));
    }

    /**
     * Queries whether requests on an adapter can run at once.
     *
     * @param adapter the adapter, not null
     * @return true if it is resident and not running out
     */
    public synchronized boolean isReady(AdapterReference adapter) {
        Slot slot = slots.get(adapter);
        return slot != null && !slot.isRetiring();
    }

    /**
     * Gives a request that was taken in its hold on the adapter, just before it runs.
     *
     * @param attempt the request, not null
     * @param adapter its adapter, not null
     * @return the pin, or empty if the adapter is not ready any more; the request then waits on
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
     * Takes a waiting request out, since it was cancelled or its deadline passed.
     *
     * @param attempt the request, not null
     * @return false if it is not waiting
     */
    public synchronized boolean withdraw(AttemptId attempt) {
        return waitingRequests.remove(attempt);
    }

    /**
     * Decides which loads to start now; each must be carried out.
     *
     * @return the orders, not null
     */
    public synchronized List<LoadOrder> orders() {
        if (!canStartLoads()) {
            return List.of();
        }
        long now = clock.nanos();
        List<LoadOrder> started = new ArrayList<>();
        List<AwaitedAdapter> wanted = adaptersToLoad(now);
        if (wanted.isEmpty()) {
            slots.values().forEach(Slot::cancelRetirement);
            return started;
        }
        while (loadsInProgress.size() < settings.loadsAtOnce()) {
            Optional<AwaitedAdapter> next = loadScheduler.next(wanted);
            Optional<LoadOrder> order = next.filter(this::isWithinFleetLimit).flatMap(adapter -> createCommand(adapter, now));
            if (order.isEmpty()) {
                break;
            }
            loadScheduler.onStarted(next.get());
            wanted.remove(next.get());
            started.add(order.get());
        }
        return started;
    }

    /* Saves the look at all that wait, which grows with them, when it would end in no load. */
    private boolean canStartLoads() {
        if (loadsInProgress.size() >= settings.loadsAtOnce()) {
            return false;
        }
        return loadsInProgress.isEmpty() || loadsInProgress.size() + fleetLoads.loadsInProgress() < settings.loadsFleetWide();
    }

    private List<AwaitedAdapter> adaptersToLoad(long now) {
        List<AwaitedAdapter> wanted = new ArrayList<>();
        for (AdapterReference adapter : waitingRequests.adapters()) {
            if (!slots.containsKey(adapter) && !loadsInProgress.containsKey(adapter)) {
                wanted.add(waitingRequests.summarize(adapter, now));
            }
        }
        return wanted;
    }

    /*
     * Beyond the fleet's limit each load slows all others. The companions with the most urgent loads go first; one that has
     * waited out its patience goes in any case, since news may be lost and a limit that nobody frees would stop all loads.
     */
    private boolean isWithinFleetLimit(AwaitedAdapter next) {
        if (next.longestWaitNanos() >= settings.patience().toNanos() && loadsInProgress.isEmpty()) {
            return true;
        }
        int others = fleetLoads.loadsInProgress() + fleetLoads.countMoreUrgent(next.totalWaitNanos());
        return loadsInProgress.size() + others < settings.loadsFleetWide();
    }

    private Optional<LoadOrder> createCommand(AwaitedAdapter next, long now) {
        Optional<AdapterReference> victim = Optional.empty();
        if (slots.size() + loadsInProgress.size() >= settings.slots()) {
            victim = chooseVictim(now);
            if (victim.isEmpty()) {
                retireSlotFor(next, now);
                return Optional.empty();
            }
            slots.remove(victim.get());
        }
        LoadOrder order = new LoadOrder(++lastCommandNumber, next.adapter(), victim);
        loadsInProgress.put(next.adapter(), new LoadInProgress(order, now));
        return Optional.of(order);
    }

    private Optional<AdapterReference> chooseVictim(long now) {
        Slot worst = null;
        double worstWorth = 0;
        for (Slot slot : slots.values()) {
            if (slot.isPinned() || !slot.isRetiring() && waitingRequests.hasAny(slot.adapter())) {
                continue;
            }
            double worth = slot.isRetiring() ? Double.NEGATIVE_INFINITY : retentionValue(slot, now);
            if (worst == null || worth < worstWorth) {
                worst = slot;
                worstWorth = worth;
            }
        }
        return Optional.ofNullable(worst).map(Slot::adapter);
    }

    private double retentionValue(Slot slot, long now) {
        return settings.eviction()
                .retentionValue(new EvictionCandidate(
                        slot.adapter(), useCounts.uses(slot.adapter(), now), now - slot.lastUsedNanos(), (long) expectedLoadNanos));
    }

    /*
     * When every slot is in use throughout, requests on other adapters would wait for ever. The slot worth least then takes
     * no new requests, and is evicted when the last that runs there has ended; none is cut off.
     */
    private void retireSlotFor(AwaitedAdapter next, long now) {
        if (next.longestWaitNanos() < settings.patience().toNanos()) {
            return;
        }
        Slot worst = null;
        for (Slot slot : slots.values()) {
            if (slot.isRetiring()) {
                return;
            }
            if (worst == null || retentionValue(slot, now) < retentionValue(worst, now)) {
                worst = slot;
            }
        }
        if (worst != null) {
            worst.retire();
        }
    }

    /**
     * Tells that an order was carried out.
     *
     * @param order the order, not null
     * @return false if it is from before the engine's restart, and nothing changed
     */
    public synchronized boolean loaded(LoadOrder order) {
        LoadInProgress transit = removeLoadInProgress(order);
        if (transit == null) {
            return false;
        }
        long now = clock.nanos();
        expectedLoadNanos += LOAD_TIME_SMOOTHING * (now - transit.startedNanos - expectedLoadNanos);
        loadBackoff.onSucceeded(order.adapter());
        slots.put(order.adapter(), new Slot(order.adapter(), now));
        return true;
    }

    /**
     * Tells that an order failed; the adapter is absent, and its requests are refused for a while.
     *
     * @param order the order, not null
     * @return the requests that waited for it, which are taken out and must be told, not null
     */
    public synchronized List<AttemptId> failed(LoadOrder order) {
        if (removeLoadInProgress(order) == null) {
            return List.of();
        }
        loadBackoff.onFailed(order.adapter(), clock.nanos());
        return waitingRequests.removeAll(order.adapter());
    }

    private LoadInProgress removeLoadInProgress(LoadOrder order) {
        LoadInProgress transit = loadsInProgress.get(order.adapter());
        if (transit == null || transit.command.number() != order.number()) {
            return null;
        }
        return loadsInProgress.remove(order.adapter());
    }

    /**
     * Takes the engine's own state in, so that what is believed here does not drift from what is.
     *
     * @param incarnation the engine's incarnation
     * @param held the adapters that it holds, not null
     * @param askedAtNanos when it was asked, by the clock; what was loaded later is left alone
     * @return true if the engine has restarted since it was last asked
     */
    public synchronized boolean synchronise(long incarnation, Set<AdapterReference> held, long askedAtNanos) {
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
                        !held.contains(slot.adapter()) && !slot.isPinned() && slot.loadedNanos() - askedAtNanos < 0);
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
     * Gets the adapters that are loading or waited for.
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

    public synchronized int inTransit() {
        return loadsInProgress.size();
    }

    /**
     * Gets how urgent the loads are that wait here, to be told to the other companions.
     *
     * @return the nanoseconds that the most urgent one's requests have waited together, 0 if none waits
     */
    public synchronized long waitingWork() {
        long most = 0;
        for (AwaitedAdapter adapter : adaptersToLoad(clock.nanos())) {
            most = Math.max(most, adapter.totalWaitNanos());
        }
        return most;
    }

    /**
     * Gets the number of adapters that wait to be loaded.
     *
     * @return the number
     */
    public synchronized int waiting() {
        return adaptersToLoad(clock.nanos()).size();
    }
}
