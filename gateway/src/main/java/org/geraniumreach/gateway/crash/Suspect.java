package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;

/**
 * The evidence for and against one suspect.
 *
 * <p>Invariants: an end counts only if no answer that went on has cleared the suspect since. Ends within {@link #COINCIDENCE} of one another count
 * once if the suspect was at these targets before, since targets that are lost together have a common cause. The evidence is the same in whatever
 * order it becomes known. Confined to the event loop.
 */
final class Suspect {

    /** Targets that are lost together are seen to end within this time, also by busy entries. */
    static final Duration COINCIDENCE = Duration.ofMillis(150);

    /** Ends beyond these prove nothing more. */
    private static final int MAXIMUM_ENDS = 16;

    private final SuspectKey key;
    private final Map<TargetRun, TargetEnd> ends = new LinkedHashMap<>();
    private long soundUntil = Long.MIN_VALUE;
    private long trialUntil = Long.MIN_VALUE;
    private long trialStartedAt = Long.MAX_VALUE;
    private long changedAt;
    private State state = State.UNDECIDED;
    private int totalCount;
    private int count;
    private long lastEndAt = Long.MIN_VALUE;

    private enum State {
        UNDECIDED,
        /** Has enough ends to be refused, which another suspect or chance may explain as well. */
        OPEN,
        REFUSED
    }

    Suspect(SuspectKey key, long now) {
        this.key = key;
        this.changedAt = now;
    }

    SuspectKey key() {
        return key;
    }

    long changedAt() {
        return changedAt;
    }

    /** Records an end; returns whether it says something new. */
    boolean recordEnd(TargetEnd end, long now) {
        if (end.at() <= soundUntil) {
            return false;
        }
        TargetEnd known = ends.get(end.run());
        if (known == null && ends.size() >= MAXIMUM_ENDS) {
            return false;
        }
        TargetEnd merged = known == null ? end : known.merge(end);
        if (merged.equals(known)) {
            return false;
        }
        ends.put(end.run(), merged);
        if (end.sentAt() >= trialStartedAt - COINCIDENCE.toNanos()) {
            endTrial();
        }
        changedAt = now;
        recountAll();
        return true;
    }

    /**
     * Queries whether an answer that goes on clears the suspect. What ends targets has done so from its first end on, so an answer that began
     * later would not have gone on.
     */
    boolean isClearedBy(long begunAt) {
        return ends.values().stream().anyMatch(end -> end.at() <= begunAt);
    }

    /** Clears the suspect of all ends until a time; returns whether there were any. */
    boolean clear(long until, long now) {
        soundUntil = Math.max(soundUntil, until);
        boolean cleared = ends.values().removeIf(end -> end.at() <= soundUntil);
        if (cleared) {
            changedAt = now;
            endTrial();
            recountAll();
        }
        return cleared;
    }

    private void recountAll() {
        totalCount = countWithout(Set.of());
        count = totalCount;
    }

    /** Counts the ends anew, without those that another suspect explains. */
    void recount(Set<TargetRun> explained) {
        if (state != State.REFUSED && !Collections.disjoint(ends.keySet(), explained)) {
            count = countWithout(explained);
        }
    }

    private int countWithout(Set<TargetRun> explained) {
        List<TargetEnd> ordered = ends.values().stream()
                .filter(end -> !explained.contains(end.run()))
                .sorted(Comparator.comparingLong(TargetEnd::at))
                .toList();
        int counted = 0;
        long countedAt = Long.MIN_VALUE;
        for (TargetEnd end : ordered) {
            boolean isFurther = end.sentAt() >= countedAt || end.at() - countedAt > COINCIDENCE.toNanos();
            if (counted == 0 || isFurther) {
                counted++;
                countedAt = end.at();
            }
            lastEndAt = end.at();
        }
        return counted;
    }

    /** Gets the number of times that targets ended, also those that another suspect explains. */
    int totalCount() {
        return totalCount;
    }

    /** Forgets what has been decided. */
    void reset() {
        state = State.UNDECIDED;
        count = totalCount;
    }

    void refuse() {
        state = State.REFUSED;
    }

    void leaveOpen() {
        state = State.OPEN;
    }

    boolean isUndecided() {
        return state == State.UNDECIDED;
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    boolean isRefused() {
        return state == State.REFUSED;
    }

    /** Queries whether a target ended under the suspect. */
    boolean isAt(TargetRun run) {
        return ends.containsKey(run);
    }

    /** Queries whether a target ended under both suspects. */
    boolean sharesEnd(Suspect other) {
        return ends.keySet().stream().anyMatch(other.ends::containsKey);
    }

    /** Gets the number of times that targets ended, those that ended together counted once, and without those that another one explains. */
    int count() {
        return count;
    }

    /** Queries whether one request with the suspect may be sent at a time. */
    boolean needsTrial() {
        return count >= key.kind().trialEnds();
    }

    /** Gets the time of the last end; meaningful only if there is one. */
    long lastEndAt() {
        return lastEndAt;
    }

    /** Gets the number of different requests that were at the ended targets. */
    int requests() {
        return (int) ends.values().stream()
                .flatMap(end -> end.requests().stream())
                .distinct()
                .count();
    }

    /** Records that a request is tried; nobody else sends one meanwhile. */
    void startTrial(long until, long now) {
        if (!isTried(now)) {
            trialStartedAt = now;
        }
        trialUntil = Math.max(trialUntil, until);
        changedAt = now;
    }

    /** Ends the trial of a request that was not run, or whose result is known. */
    void endTrial() {
        trialUntil = Long.MIN_VALUE;
    }

    boolean isTried(long now) {
        return now < trialUntil;
    }

    /** Gets what other entries need to know. */
    SuspectUpdate toUpdate(long now) {
        return new SuspectUpdate(
                key,
                new ArrayList<>(ends.values()),
                soundUntil == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(soundUntil),
                isTried(now) ? OptionalLong.of(trialUntil) : OptionalLong.empty());
    }

    Collection<TargetEnd> ends() {
        return ends.values();
    }
}
