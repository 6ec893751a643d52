package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.crash.SuspectKey.Kind;
import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;

/**
 * All that is known of suspects, and which of them are refused.
 *
 * <p>Intended for ends at which many requests were running that share most of what they consist of: a part that is refused explains the ends under
 * it, which then say nothing against other suspects.
 *
 * <p>Invariants: a prompt part is refused only after ends under several requests, since one request's ends speak against that request, and only if no
 * other part has as many ends in common with it, unless the ends go on. Entries that know the same refuse the same. At most
 * {@link #MAXIMUM_SUSPECTS} suspects are known, with a few hundred bytes each. Confined to the event loop.
 */
final class Suspects {

    static final int REFUSAL_ENDS = 3;

    /** The ends from which on parts are refused that cannot be told apart. */
    static final int AMBIGUOUS_REFUSAL_ENDS = 4;

    /** Longer than a target takes to return, so that a request that still ends targets takes a small part of them. */
    static final Duration FIRST_REFUSAL_TIME = Duration.ofSeconds(60);

    static final Duration MAXIMUM_REFUSAL_TIME = Duration.ofMinutes(10);

    private static final int MAXIMUM_DOUBLINGS = 10;

    /** Longer than any refusal, so that the ends before it count when it is over. */
    private static final Duration SUSPECT_LIFETIME = Duration.ofMinutes(20);

    static final int MAXIMUM_SUSPECTS = 4_096;

    /** The time within which requests with one suspect part clear it if it is sound; those with several wait meanwhile. */
    private static final Duration CLEARING_TIME = Duration.ofSeconds(2);

    /** The time within which answers that are under way clear sound parts, so that no target needs to be risked for a trial. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(800);

    /** The time before the last end of a part in which ends without it show that targets also end for other reasons. */
    private static final Duration CHANCE_WINDOW = Duration.ofSeconds(10);

    /** Bounds how many ends a part may need beyond {@link #REFUSAL_ENDS}. */
    private static final int MAXIMUM_FURTHER_ENDS = 2;

    private static final int MAXIMUM_RECENT_ENDS = 64;

    private final Map<SuspectKey, Suspect> suspects = new LinkedHashMap<>();

    /** The ends under refused parts. */
    private final Set<TargetRun> explained = new HashSet<>();

    /** The times of the latest ends, by target. */
    private final Map<TargetRun, Long> recentEnds = new LinkedHashMap<>();

    private boolean undecided;

    boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Gets the known suspects of a request that have any evidence against them. */
    List<Suspect> find(RequestIdentity request) {
        return request.suspects().stream()
                .flatMap(key -> Optional.ofNullable(suspects.get(key)).stream())
                .filter(suspect -> suspect.count() > 0)
                .toList();
    }

    /** Gets a suspect, which has no evidence if it was not known. */
    Suspect get(SuspectKey key, long now) {
        Suspect known = suspects.get(key);
        if (known != null) {
            return known;
        }
        removeOldest();
        Suspect added = new Suspect(key, now);
        suspects.put(key, added);
        return added;
    }

    /** Removes the oldest suspect with at most one end, or else the one with the fewest, if there is no place for another. */
    private void removeOldest() {
        if (suspects.size() < MAXIMUM_SUSPECTS) {
            return;
        }
        suspects.values().stream()
                .filter(suspect -> suspect.totalCount() <= 1)
                .findFirst()
                .or(() -> suspects.values().stream().min(Comparator.comparingInt(Suspect::totalCount)))
                .map(Suspect::key)
                .ifPresent(suspects::remove);
    }

    void expire(long now) {
        suspects.values().removeIf(suspect -> now - suspect.changedAt() > SUSPECT_LIFETIME.toNanos());
    }

    Collection<Suspect> all() {
        return suspects.values();
    }

    /** Records an end; returns whether it says something new. */
    boolean recordEnd(SuspectKey key, TargetEnd end, long now) {
        recordRecent(end);
        Suspect suspect = get(key, now);
        boolean changed = suspect.recordEnd(end, now);
        if (changed) {
            onChanged(suspect, suspect.totalCount());
        }
        return changed;
    }

    private void recordRecent(TargetEnd end) {
        recentEnds.merge(end.run(), end.at(), Math::min);
        if (recentEnds.size() > MAXIMUM_RECENT_ENDS) {
            recentEnds.remove(recentEnds.keySet().iterator().next());
        }
    }

    /** Records that an answer goes on that began at a time; returns whether it clears the suspect of an end. */
    boolean recordSound(SuspectKey key, long begunAt, long now) {
        return suspects.containsKey(key) && suspects.get(key).isClearedBy(begunAt) && clear(key, now, now);
    }

    /** Clears a suspect of all ends until a time; returns whether there were any. */
    boolean clear(SuspectKey key, long until, long now) {
        Suspect suspect = get(key, now);
        int countBefore = suspect.totalCount();
        boolean cleared = suspect.clear(until, now);
        if (cleared) {
            onChanged(suspect, countBefore);
        }
        return cleared;
    }

    /** Most suspects have too few ends to be refused, so that nothing else depends on them. */
    private void onChanged(Suspect suspect, int greatestCount) {
        if (greatestCount >= REFUSAL_ENDS) {
            undecided = true;
        } else {
            suspect.recount(explained);
        }
    }

    /** Queries whether the evidence has changed since it was decided which suspects are refused. */
    boolean isUndecided() {
        return undecided;
    }

    /** Decides which suspects are refused. */
    void update(long now) {
        undecided = false;
        explained.clear();
        suspects.values().forEach(Suspect::reset);
        List<Suspect> parts = candidates(Kind.PROMPT_PART);
        while (!parts.isEmpty()) {
            Suspect strongest = parts.get(0);
            if (strongest.count() < requiredEnds(strongest) || isAmbiguous(strongest, now)) {
                strongest.leaveOpen();
                undecided |= now - strongest.lastEndAt() < CLEARING_TIME.toNanos();
            } else {
                strongest.refuse();
                strongest.ends().forEach(end -> explained.add(end.run()));
                suspects.values().forEach(suspect -> suspect.recount(explained));
            }
            parts = candidates(Kind.PROMPT_PART);
        }
        candidates(Kind.REQUEST).forEach(Suspect::refuse);
    }

    /** Gets the suspects with enough evidence that are undecided, the strongest first, in the same order at all entries. */
    private List<Suspect> candidates(Kind kind) {
        return suspects.values().stream()
                .filter(suspect -> suspect.key().kind() == kind && suspect.isUndecided())
                .filter(suspect -> suspect.count() >= REFUSAL_ENDS && suspect.requests() >= kind.refusalRequests())
                .sorted(Comparator.comparingInt(Suspect::count).reversed().thenComparingLong(suspect -> suspect.key()
                        .hash()))
                .toList();
    }

    /**
     * Queries whether another part has been at nearly as many of the same ends. Sound parts are cleared within a short time in which they are tried;
     * what is left of them then always occurs together.
     */
    private boolean isAmbiguous(Suspect strongest, long now) {
        boolean mayBeCleared = now - strongest.lastEndAt() < CLEARING_TIME.toNanos();
        return (mayBeCleared || strongest.count() < AMBIGUOUS_REFUSAL_ENDS)
                && suspects.values().stream()
                        .filter(other -> other != strongest && other.key().kind() == Kind.PROMPT_PART)
                        .filter(Suspect::needsTrial)
                        .anyMatch(other -> other.count() >= strongest.count() - 1 && other.sharesEnd(strongest));
    }

    /** Gets the ends that a part needs; more where targets end without it too, since it may have been at some of these ends by chance. */
    private int requiredEnds(Suspect suspect) {
        long from = suspect.lastEndAt() - CHANCE_WINDOW.toNanos();
        long others = recentEnds.entrySet().stream()
                .filter(end -> end.getValue() > from && end.getValue() <= suspect.lastEndAt())
                .filter(end -> !explained.contains(end.getKey()) && !suspect.isAt(end.getKey()))
                .limit(MAXIMUM_FURTHER_ENDS)
                .count();
        return REFUSAL_ENDS + (int) others;
    }

    /** Decides on a request with some suspects. */
    Verdict decide(Collection<Suspect> involved, long now) {
        Optional<Verdict> strictest =
                involved.stream().map(suspect -> decide(suspect, now)).max(Comparator.comparing(Verdict::result));
        boolean shouldWait = strictest
                        .filter(verdict -> verdict.result() == Verdict.Result.TRIAL)
                        .isPresent()
                && hasSeveralOpenParts(involved, now);
        return shouldWait
                ? Verdict.of(Verdict.Result.HELD, strictest.get().grounds().orElseThrow())
                : strictest.orElse(Verdict.ADMITTED);
    }

    private static boolean hasSeveralOpenParts(Collection<Suspect> involved, long now) {
        return involved.stream()
                        .filter(suspect -> suspect.key().kind() == Kind.PROMPT_PART && suspect.needsTrial())
                        .filter(suspect -> now - suspect.lastEndAt() < CLEARING_TIME.toNanos())
                        .limit(2)
                        .count()
                > 1;
    }

    private Verdict decide(Suspect suspect, long now) {
        if (!suspect.needsTrial()) {
            return Verdict.ADMITTED;
        }
        Duration age = Duration.ofNanos(now - suspect.lastEndAt());
        Duration refusalLeft = refusalTime(suspect).minus(age);
        boolean refused = !refusalLeft.isNegative() && !refusalLeft.isZero();
        Verdict.Grounds grounds = new Verdict.Grounds(
                suspect.key(), suspect.count(), suspect.requests(), age, refused ? refusalLeft : Duration.ZERO);
        if (refused) {
            return Verdict.of(Verdict.Result.REFUSED, grounds);
        }
        boolean mayBeCleared = suspect.isOpen() && age.compareTo(ANSWER_TIME) < 0;
        boolean held = mayBeCleared || suspect.isTried(now) || isCompetitorTried(suspect, now);
        return Verdict.of(held ? Verdict.Result.HELD : Verdict.Result.TRIAL, grounds);
    }

    /** Queries whether another part is tried that ended the same targets; at the same target, the trial of one would speak against both. */
    private boolean isCompetitorTried(Suspect suspect, long now) {
        return suspect.key().kind() == Kind.PROMPT_PART
                && suspects.values().stream()
                        .filter(other -> other != suspect && other.key().kind() == Kind.PROMPT_PART)
                        .anyMatch(other -> other.needsTrial() && other.isTried(now) && other.sharesEnd(suspect));
    }

    /** Gets the time from the last end for which a suspect is refused. */
    static Duration refusalTime(Suspect suspect) {
        if (!suspect.isRefused()) {
            return Duration.ZERO;
        }
        int doublings = Math.min(suspect.count() - REFUSAL_ENDS, MAXIMUM_DOUBLINGS);
        Duration time = FIRST_REFUSAL_TIME.multipliedBy(1L << doublings);
        return time.compareTo(MAXIMUM_REFUSAL_TIME) < 0 ? time : MAXIMUM_REFUSAL_TIME;
    }

    /** Gets what other entries need to know. */
    List<SuspectUpdate> toUpdates(long now) {
        List<SuspectUpdate> updates = new ArrayList<>();
        suspects.values().stream()
                .filter(suspect -> !suspect.ends().isEmpty())
                .forEach(suspect -> updates.add(suspect.toUpdate(now)));
        return updates;
    }
}
