package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.crash.TargetEndDetector.BrokenRequest;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Decides whether a request may be sent although targets have ended under it.
 *
 * <p>Intended for fleets in which a few requests end each target that begins to answer them, while all others have to be served by the targets that
 * are left. Nothing is computed or sent while no target ends.
 *
 * <p>Invariants: requests with a suspect under which few targets have ended are sent one at a time over all connected entries, then none until a
 * time has passed that doubles with each further end. An answer that goes on clears a suspect at once. Confined to the event loop.
 */
public final class CrashGuard {

    /** The time within which most requests are answered, so that a further one is hardly sent beside the one that is tried. */
    static final Duration TRIAL_TIME = Duration.ofSeconds(3);

    /** Spreads the entries that have seen the same suspect go on, so that the first one tells the others. */
    private static final Duration MAXIMUM_SOUND_DELAY = Duration.ofMillis(100);

    private final TargetEndDetector detector;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final DecisionLog log;
    private final Suspects suspects = new Suspects();
    private final Map<SuspectKey, Long> unpublishedSound = new HashMap<>();
    private CrashPeers peers = updates -> {};
    private Runnable refusalListener = () -> {};

    /**
     * Creates a guard that suspects nothing.
     *
     * @param targets checks whether targets have ended, not null
     * @param timers schedules what is told to other entries, not null
     * @param clock the monotonic clock, not null
     * @param random random numbers from 0 inclusive to 1 exclusive, not null
     * @param log the decision log, not null
     */
    public CrashGuard(TargetPort targets, Timers timers, MonotonicClock clock, DoubleSupplier random, DecisionLog log) {
        this.detector = new TargetEndDetector(targets, timers, clock, this::onEnded);
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Sets the other entries.
     *
     * @param newPeers the other entries, not null
     */
    public void setPeers(CrashPeers newPeers) {
        peers = Objects.requireNonNull(newPeers, "newPeers");
    }

    /**
     * Decides whether a request may be sent now.
     *
     * @param identity computes the identity of the request, called only if anything is under suspicion, not null
     * @return the verdict, not null
     */
    public Verdict decide(Supplier<RequestIdentity> identity) {
        if (suspects.isEmpty() && detector.isIdle()) {
            return Verdict.ADMITTED;
        }
        updateRefusals("decided later");
        RequestIdentity request = identity.get();
        List<Suspect> involved = suspects.find(request);
        return detector.isChecking(request, !involved.isEmpty())
                ? Verdict.HELD_FOR_CHECK
                : suspects.decide(involved, clock.nanos());
    }

    /**
     * Decides whether a request may be sent now, and starts its trial if it is only tried.
     *
     * @param identity computes the identity of the request, not null
     * @return the verdict, not null
     */
    public Verdict decideAndStartTrial(Supplier<RequestIdentity> identity) {
        Verdict verdict = decide(identity);
        if (verdict.result() == Verdict.Result.TRIAL) {
            startTrials(identity.get());
        }
        return verdict;
    }

    private void startTrials(RequestIdentity request) {
        long now = clock.nanos();
        long until = now + TRIAL_TIME.toNanos();
        List<SuspectUpdate> started = new ArrayList<>();
        triedSuspects(request).forEach(suspect -> {
            suspect.startTrial(until, now);
            started.add(SuspectUpdate.ofTrial(suspect.key(), until));
        });
        peers.publish(started);
    }

    private List<Suspect> triedSuspects(RequestIdentity request) {
        return suspects.find(request).stream().filter(Suspect::needsTrial).toList();
    }

    /**
     * Observes a request that is sent to a target.
     *
     * @param target the target, not null
     * @param identity computes the identity of the request, not null
     * @return receives what becomes of the request, not null
     */
    public SentRun onSent(Target target, Supplier<RequestIdentity> identity) {
        return new SentRun(this, target, identity, clock.nanos());
    }

    void onBroken(Target target, Supplier<RequestIdentity> identity, long sentAt) {
        detector.onBroken(target, new BrokenRequest(identity.get(), sentAt));
    }

    void onNotExecuted(Supplier<RequestIdentity> identity) {
        if (!suspects.isEmpty()) {
            triedSuspects(identity.get()).forEach(Suspect::endTrial);
        }
    }

    void onSound(Supplier<RequestIdentity> identity, long begunAt) {
        if (suspects.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        List<SuspectKey> cleared = identity.get().suspects().stream()
                .filter(key -> suspects.recordSound(key, begunAt, now))
                .toList();
        if (cleared.isEmpty()) {
            return;
        }
        cleared.forEach(key -> publishSoundLater(key, now));
        updateRefusals("seen here");
    }

    private void publishSoundLater(SuspectKey key, long soundUntil) {
        if (unpublishedSound.isEmpty()) {
            Duration delay = Duration.ofNanos((long) (random.getAsDouble() * MAXIMUM_SOUND_DELAY.toNanos()));
            timers.schedule(delay, this::publishSound);
        }
        unpublishedSound.merge(key, soundUntil, Math::max);
    }

    private void publishSound() {
        List<SuspectUpdate> updates = new ArrayList<>();
        unpublishedSound.forEach((key, soundUntil) -> updates.add(SuspectUpdate.ofSound(key, soundUntil)));
        unpublishedSound.clear();
        if (!updates.isEmpty()) {
            peers.publish(updates);
        }
    }

    private void onEnded(TargetRun run, long at, List<BrokenRequest> requests) {
        Map<SuspectKey, TargetEnd> ends = new LinkedHashMap<>();
        requests.forEach(broken -> {
            TargetEnd end = new TargetEnd(
                    run, at, broken.sentAt(), Set.of(broken.identity().request().hash()));
            broken.identity().suspects().forEach(key -> ends.merge(key, end, TargetEnd::merge));
        });
        List<SuspectUpdate> updates = new ArrayList<>();
        ends.forEach((key, end) -> {
            if (recordEnd(key, end)) {
                updates.add(SuspectUpdate.ofEnd(key, end));
            }
        });
        log.write(
                EventCode.TARGET_ENDED,
                run.target().value(),
                Field.of("startedAt", run.startedAt()),
                Field.of("requests", requests.size()),
                Field.of("suspects", updates.size()),
                Field.of("ageMillis", Duration.ofNanos(clock.nanos() - at).toMillis()));
        if (!updates.isEmpty()) {
            peers.publish(updates);
            updateRefusals("seen here");
        }
    }

    private boolean recordEnd(SuspectKey key, TargetEnd end) {
        return suspects.recordEnd(key, end, clock.nanos());
    }

    /** Decides anew what is refused, and tells what has changed. */
    private void updateRefusals(String source) {
        if (!suspects.isUndecided()) {
            return;
        }
        Set<Suspect> refusedBefore = refusedSuspects();
        suspects.update(clock.nanos());
        Set<Suspect> refusedNow = refusedSuspects();
        refusedNow.stream()
                .filter(suspect -> !refusedBefore.contains(suspect))
                .forEach(suspect -> logRefused(suspect, source));
        refusedBefore.stream()
                .filter(suspect -> !refusedNow.contains(suspect))
                .forEach(suspect ->
                        log.write(EventCode.SUSPECT_CLEARED, suspect.key().toString(), Field.of("source", source)));
        if (!refusedBefore.containsAll(refusedNow)) {
            refusalListener.run();
        }
    }

    private Set<Suspect> refusedSuspects() {
        return suspects.all().stream().filter(Suspect::isRefused).collect(Collectors.toSet());
    }

    private void logRefused(Suspect suspect, String source) {
        log.write(
                EventCode.SUSPECT_REFUSED,
                suspect.key().toString(),
                Field.of("ends", suspect.count()),
                Field.of("requests", suspect.requests()),
                Field.of(
                        "targets",
                        suspect.ends().stream()
                                .map(end -> end.run().target().value())
                                .toList()
                                .toString()),
                Field.of(
                        "ageMillis",
                        Duration.ofNanos(clock.nanos() - suspect.lastEndAt()).toMillis()),
                Field.of("refusedMillis", Suspects.refusalTime(suspect).toMillis()),
                Field.of("source", source));
    }

    /**
     * Handles what another entry knows.
     *
     * @param updates the updates, with times on this entry's clock, not null
     */
    public void onUpdates(List<SuspectUpdate> updates) {
        updates.forEach(this::onUpdate);
        updateRefusals("told by another entry");
    }

    private void onUpdate(SuspectUpdate update) {
        SuspectKey key = update.key();
        update.soundUntil().ifPresent(soundUntil -> {
            suspects.clear(key, soundUntil, clock.nanos());
            unpublishedSound.computeIfPresent(key, (same, own) -> own <= soundUntil ? null : own);
        });
        update.ends().forEach(end -> recordEnd(key, end));
        long now = clock.nanos();
        update.trialUntil().ifPresent(until -> suspects.get(key, now)
                .startTrial(Math.min(until, now + TRIAL_TIME.toNanos()), now));
    }

    /**
     * Gets all that is known, for an entry that may have missed it.
     *
     * @return the updates, with times on this entry's clock, not null
     */
    public List<SuspectUpdate> known() {
        return suspects.toUpdates(clock.nanos());
    }

    /**
     * Sets what is run when something is refused that was not, so that requests under way can be stopped.
     *
     * @param listener the action, not null
     */
    public void onRefused(Runnable listener) {
        refusalListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Gets the number of suspects that are refused.
     *
     * @return the number
     */
    public int refusedCount() {
        return refusedSuspects().size();
    }

    /** Forgets suspects of which nothing has been heard for long; called periodically. */
    public void expire() {
        suspects.expire(clock.nanos());
    }

    /**
     * Gets what is known of the suspects that are refused.
     *
     * @return the updates, with times on this entry's clock, not null
     */
    public List<SuspectUpdate> refused() {
        long now = clock.nanos();
        return refusedSuspects().stream().map(suspect -> suspect.toUpdate(now)).toList();
    }
}
