package org.geraniumreach.daemon.companion;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * What is known of attempts: which were seen, which have started, and which never will.
 *
 * <p>Invariants: an attempt starts at most once, and never after it was sealed or refused; {@link KnownState#NEVER_STARTED} is
 * answered only for an attempt that has not started, and holds from then on. Attempts that are over are known for the
 * retention time; those that have run may be forgotten earlier if there are too many, those that were sealed never, since
 * their Run may still arrive. When too many are known all the same, no new one is taken. The table remembers since when it
 * has forgotten none: an unknown attempt that is older may have run, and is answered {@link KnownState#FORGOTTEN}, so bounded
 * memory never makes "not run" false. No I/O, threads or clock of its own. Not safe for use by several threads.
 *
 * @param <T> what is kept with an attempt until its output may be dropped
 */
final class AttemptTable<T> {

    /** The age of an attempt that nobody can tell. */
    static final long AGE_UNKNOWN = -1;

    /**
     * How long a question may travel: an entry believes no answer that comes later than its answer limit, which is below
     * this.
     */
    static final long MAX_QUERY_DELAY_NANOS = 30_000_000_000L;

    private final long retentionNanos;
    private final int capacity;
    private final Map<AttemptId, State> states = new HashMap<>();
    private final Map<AttemptId, T> values = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Long> endedAt = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Long> sealedAt = new LinkedHashMap<>();

    /** Of attempts that were sealed without having been seen, up to when others had been forgotten by then. */
    private final Map<AttemptId, Long> horizonAtSeal = new HashMap<>();

    private boolean hasForgotten;
    private long forgottenHorizon;

    AttemptTable(long retentionNanos, int retained) {
        this.retentionNanos = retentionNanos;
        this.capacity = retained;
    }

    private enum State {
        WAITING,
        STARTED,
        ENDED,
        SEALED,
        FORGOTTEN
    }

    /** What the table knows of an attempt. */
    enum KnownState {
        /** It waits. */
        WAITING,
        /** It has started. */
        STARTED,
        /** It has started and ended. */
        ENDED,
        /** It has not started and never will. */
        NEVER_STARTED,
        /** It may have run so long ago that it is forgotten; it will not start. */
        FORGOTTEN
    }

    /** What became of an attempt that was to be taken in. */
    enum AddResult {
        /** It waits from now on. */
        ADDED,
        /** It was seen or sealed before. */
        ALREADY_KNOWN,
        /** It is not known, and there is no room to know it. */
        TABLE_FULL
    }

    /**
     * Takes an attempt in.
     *
     * @param id the attempt, not null
     * @param value what is kept with it, not null
     * @return what became of it, not null
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
     * Starts an attempt.
     *
     * @param id the attempt, not null
     * @return true if it waited, and is to be run; false if it must not be
     */
    boolean start(AttemptId id) {
        return states.replace(id, State.WAITING, State.STARTED);
    }

    /**
     * Puts an attempt back that was started and, as is shown, did not run.
     *
     * @param id the attempt, not null
     */
    void requeue(AttemptId id) {
        states.replace(id, State.STARTED, State.WAITING);
    }

    /**
     * Notes that an attempt is over.
     *
     * @param id the attempt, not null
     * @param hasRun false if it has not run, which must be shown
     * @param now the time
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
     * Sees to it that an attempt does not start if it has not started.
     *
     * @param id the attempt, not null
     * @param ageNanos the time since it was sent, at least, or {@link #AGE_UNKNOWN}
     * @param now the time
     * @return what is known of it, not null; never {@link KnownState#WAITING}
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
     * Takes back that an attempt never started, if it was sent before what was remembered at its first seal.
     *
     * <p>The first seal may have come from an entry that was frozen after it had worked out the attempt's age. The attempt
     * then seemed young enough to be remembered, though it had run and been forgotten, and whoever asks next would be told
     * that it never ran.
     */
    private void reviseEarlierSeal(AttemptId id, long ageNanos, long now) {
        Long horizon = horizonAtSeal.get(id);
        if (horizon != null && !isSentAfter(horizon, ageNanos, now)) {
            states.replace(id, State.SEALED, State.FORGOTTEN);
        }
    }

    private KnownState sealUnknown(AttemptId id, boolean isWithinMemory, long now) {
        if (!ensureCapacity()) {
            return KnownState.FORGOTTEN;
        }
        State state = isWithinMemory ? State.SEALED : State.FORGOTTEN;
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
     * Finds out what is known of an attempt.
     *
     * @param id the attempt, not null
     * @return what is known, or empty if it was never seen or is forgotten
     */
    Optional<KnownState> knownState(AttemptId id) {
        return Optional.ofNullable(states.get(id)).map(AttemptTable::knownState);
    }

    Optional<T> value(AttemptId id) {
        return Optional.ofNullable(values.get(id));
    }

    /**
     * Drops what is kept with an attempt that is over; that it was seen stays known.
     *
     * @param id the attempt, not null
     */
    void dropValue(AttemptId id) {
        if (!isUnfinished(id)) {
            values.remove(id);
        }
    }

    /**
     * Forgets what is over for longer than the retention time.
     *
     * @param now the time
     */
    void expire(long now) {
        expire(endedAt, now);
        expire(sealedAt, now);
    }

    private void expire(LinkedHashMap<AttemptId, Long> over, long now) {
        while (!over.isEmpty()) {
            Map.Entry<AttemptId, Long> oldest = over.entrySet().iterator().next();
            if (now - oldest.getValue() <= retentionNanos) {
                return;
            }
            forget(oldest.getKey(), over);
        }
    }

    private void forget(AttemptId id, LinkedHashMap<AttemptId, Long> over) {
        long since = over.remove(id);
        forgottenHorizon = hasForgotten ? Math.max(forgottenHorizon, since) : since;
        hasForgotten = true;
        states.remove(id);
        horizonAtSeal.remove(id);
        values.remove(id);
    }

    /**
     * Gets what is kept with attempts.
     *
     * @return the values as they are now, not null
     */
    Collection<T> values() {
        return List.copyOf(values.values());
    }
}
