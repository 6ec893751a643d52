package org.geraniumreach.daemon.companion;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * Records which attempts were seen, which have started, and which never will.
 *
 * <p>Invariants: an attempt starts at most once, and never after it was sealed or refused;
 * {@link KnownState#NEVER_STARTED} is reported only for an attempt that has not started, and it will not start after
 * that. Attempts that are over are remembered for the retention time. If the table is full, those that have run may be
 * forgotten earlier; sealed ones are not, since their Run may still arrive. If that frees no place, new attempts are
 * rejected. The table keeps the time up to which it has forgotten attempts: an unknown attempt that was sent before may
 * have run and is reported as {@link KnownState#FORGOTTEN}, so that bounded memory never leads to a false "not run".
 * Performs no I/O and has no threads or clock of its own. Not safe for use by several threads. Times are nanoseconds of
 * one monotonic clock.
 *
 * @param <T> the value that is kept with an attempt until its output may be dropped
 */
final class AttemptTable<T> {

    /** Passed instead of an age that is not known. */
    static final long AGE_UNKNOWN = -1;

    /**
     * An upper bound of the time that a Resume, Seal or Cancel frame takes to arrive. Entries ignore answers that
     * arrive after their answer limit, which is below this bound.
     */
    static final long MAX_QUERY_DELAY_NANOS = 30_000_000_000L;

    private final long retentionNanos;
    private final int capacity;
    private final Map<AttemptId, State> states = new HashMap<>();
    private final Map<AttemptId, T> values = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Long> endedAt = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Long> sealedAt = new LinkedHashMap<>();

    /** For attempts that were sealed while unknown: the forgotten horizon at the time of the seal. */
    private final Map<AttemptId, Long> horizonAtSeal = new HashMap<>();

    private boolean hasForgotten;
    private long forgottenHorizon;

    AttemptTable(long retentionNanos, int capacity) {
        this.retentionNanos = retentionNanos;
        this.capacity = capacity;
    }

    private enum State {
        WAITING,
        STARTED,
        ENDED,
        SEALED,
        FORGOTTEN
    }

    /** The state of an attempt as far as the table knows it. */
    enum KnownState {
        /** It waits in the queue. */
        WAITING,
        /** It has started. */
        STARTED,
        /** It has started and ended. */
        ENDED,
        /** It has not started and never will. */
        NEVER_STARTED,
        /** It may have run and been forgotten since; it will not start. */
        FORGOTTEN
    }

    /** The result of adding an attempt. */
    enum AddResult {
        /** It was added and waits. */
        ADDED,
        /** It was added or sealed before. */
        ALREADY_KNOWN,
        /** It is not known, and the table is full. */
        TABLE_FULL
    }

    /**
     * Adds an attempt, which then waits.
     *
     * @param id the attempt, not null
     * @param value the value to keep with it, not null
     * @return the result, not null
     */
    AddResult add(AttemptId id, T value) {
        if (states.containsKey(id)) {
            return AddResult.ALREADY_KNOWN;
        }
        if (!ensureCapacity()) {
            return AddResult.TABLE_FULL;
        }
        states.put(id, State.WAITING);
        values.put(id, value);
        return AddResult.ADDED;
    }

    private boolean ensureCapacity() {
        if (states.size() >= capacity) {
            endedAt.keySet().stream()
                    .filter(id -> !values.containsKey(id))
                    .findFirst()
                    .ifPresent(id -> forget(id, endedAt));
        }
        return states.size() < capacity;
    }

    /**
     * Starts an attempt if it waits.
     *
     * @param id the attempt, not null
     * @return true if it waited and is to be run; false if it must not be run
     */
    boolean start(AttemptId id) {
        return states.replace(id, State.WAITING, State.STARTED);
    }

    /**
     * Returns a started attempt to the waiting state. It must be certain that it did not run.
     *
     * @param id the attempt, not null
     */
    void requeue(AttemptId id) {
        states.replace(id, State.STARTED, State.WAITING);
    }

    /**
     * Records that an attempt is over.
     *
     * @param id the attempt, not null
     * @param hasRun false if it is certain that it has not run
     * @param now the current time
     */
    void end(AttemptId id, boolean hasRun, long now) {
        if (!isUnfinished(id)) {
            return;
        }
        states.put(id, hasRun ? State.ENDED : State.SEALED);
        (hasRun ? endedAt : sealedAt).put(id, now);
    }

    private boolean isUnfinished(AttemptId id) {
        State state = states.get(id);
        return state == State.WAITING || state == State.STARTED;
    }

    /**
     * Seals an attempt: one that has not started never will.
     *
     * @param id the attempt, not null
     * @param ageNanos a lower bound of the time since it was sent, or {@link #AGE_UNKNOWN}
     * @param now the current time
     * @return its state, not null; never {@link KnownState#WAITING}
     */
    KnownState seal(AttemptId id, long ageNanos, long now) {
        if (!states.containsKey(id)) {
            return sealUnknown(id, isRemembered(ageNanos, now), now);
        }
        if (states.replace(id, State.WAITING, State.SEALED)) {
            sealedAt.put(id, now);
        }
        reviseEarlierSeal(id, ageNanos, now);
        return knownState(states.get(id));
    }

    /**
     * Changes a sealed attempt to forgotten if it was sent before the forgotten horizon of its first seal.
     *
     * <p>The first seal may have come from an entry that was frozen after it had computed the attempt's age. That age
     * was then too small, and the attempt was taken for one that would still be remembered although it had run and been
     * forgotten. Without this correction the next seal would report that it never ran.
     */
    private void reviseEarlierSeal(AttemptId id, long ageNanos, long now) {
        Long horizon = horizonAtSeal.get(id);
        if (horizon != null && !isSentAfter(horizon, ageNanos, now)) {
            states.replace(id, State.SEALED, State.FORGOTTEN);
        }
    }

    private KnownState sealUnknown(AttemptId id, boolean isRemembered, long now) {
        if (!ensureCapacity()) {
            return KnownState.FORGOTTEN;
        }
        State state = isRemembered ? State.SEALED : State.FORGOTTEN;
        states.put(id, state);
        sealedAt.put(id, now);
        if (hasForgotten) {
            horizonAtSeal.put(id, forgottenHorizon);
        }
        return knownState(state);
    }

    private boolean isRemembered(long ageNanos, long now) {
        if (!hasForgotten) {
            return true;
        }
        return isSentAfter(forgottenHorizon, ageNanos, now);
    }

    private static boolean isSentAfter(long horizon, long ageNanos, long now) {
        return ageNanos >= 0 && now - ageNanos - MAX_QUERY_DELAY_NANOS - horizon > 0;
    }

    private static KnownState knownState(State state) {
        return switch (state) {
            case WAITING -> KnownState.WAITING;
            case STARTED -> KnownState.STARTED;
            case ENDED -> KnownState.ENDED;
            case SEALED -> KnownState.NEVER_STARTED;
            case FORGOTTEN -> KnownState.FORGOTTEN;
        };
    }

    /**
     * Gets the state of an attempt.
     *
     * @param id the attempt, not null
     * @return the state, or empty if the attempt was never seen or is forgotten
     */
    Optional<KnownState> knownState(AttemptId id) {
        return Optional.ofNullable(states.get(id)).map(AttemptTable::knownState);
    }

    Optional<T> value(AttemptId id) {
        return Optional.ofNullable(values.get(id));
    }

    /**
     * Drops the value of an attempt that is over; its state remains known.
     *
     * @param id the attempt, not null
     */
    void dropValue(AttemptId id) {
        if (!isUnfinished(id)) {
            values.remove(id);
        }
    }

    /**
     * Forgets the attempts that have been over for longer than the retention time.
     *
     * @param now the current time
     */
    void expire(long now) {
        expire(endedAt, now);
        expire(sealedAt, now);
    }

    private void expire(LinkedHashMap<AttemptId, Long> endTimes, long now) {
        while (!endTimes.isEmpty()) {
            Map.Entry<AttemptId, Long> oldest = endTimes.entrySet().iterator().next();
            if (now - oldest.getValue() <= retentionNanos) {
                return;
            }
            forget(oldest.getKey(), endTimes);
        }
    }

    private void forget(AttemptId id, LinkedHashMap<AttemptId, Long> endTimes) {
        long endTime = endTimes.remove(id);
        forgottenHorizon = hasForgotten ? Math.max(forgottenHorizon, endTime) : endTime;
        hasForgotten = true;
        states.remove(id);
        horizonAtSeal.remove(id);
        values.remove(id);
    }

    /**
     * Gets the values that are kept.
     *
     * @return a snapshot of the values, not null
     */
    Collection<T> values() {
        return List.copyOf(values.values());
    }
}
