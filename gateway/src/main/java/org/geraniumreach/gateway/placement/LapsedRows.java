package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Tracks outages of the store, and the targets whose rows were removed in one or just after it.
 *
 * <p>Rows expire in an outage although their targets are alive, so such a target is used until it would have written its row
 * again. Invariant: heartbeats from before an outage do not count behind it. Confined to the event loop.
 */
final class LapsedRows {

    /** Rows that expired during a store outage are rewritten within about two seconds of its end. */
    static final Duration ROW_RETURN_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Time after a store outage by which a target whose row was rewritten has to have written {@link #RETURN_SPAN}. An entry that
     * was cut off from the store must detect departed targets within three seconds of its return.
     */
    static final Duration SECOND_HEARTBEAT_TIMEOUT = Duration.ofMillis(2_800);

    /** Half a heartbeat interval. Rows of live targets lapse in an outage, so less proof is asked for than otherwise. */
    static final Duration RETURN_SPAN = Duration.ofMillis(600);

    /**
     * Rows expire after three missed heartbeats of 1.2 s, so a shorter outage expires no row of a live target. If each
     * failed store call counted as an outage, departed targets would be sent requests for seconds.
     */
    static final Duration MINIMUM_OUTAGE = Duration.ofMillis(2_500);

    private final MonotonicClock clock;
    private final Map<TargetId, HeartbeatSeries> heartbeatsSinceRemoval = new HashMap<>();
    private long storeRecoveredAt = Long.MIN_VALUE;
    private boolean storeUnavailable;
    private long storeUnavailableSince;

    LapsedRows(MonotonicClock clock) {
        this.clock = clock;
    }

    void onStoreUnavailable() {
        if (!storeUnavailable) {
            storeUnavailable = true;
            storeUnavailableSince = clock.nanos();
        }
    }

    void onStoreAvailable() {
        if (isOutage()) {
            storeRecoveredAt = clock.nanos();
        }
        storeUnavailable = false;
    }

    boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Queries whether the store has been unavailable for so long that rows of live targets may have expired. */
    boolean isOutage() {
        return storeUnavailable && clock.nanos() - storeUnavailableSince >= MINIMUM_OUTAGE.toNanos();
    }

    /** Gets the time since which the store is unavailable, meaningless if it is available. */
    long outageStart() {
        return storeUnavailableSince;
    }

    /** Queries whether a row that is removed now may belong to a live target. */
    boolean mayRowLapse() {
        return isOutage()
                || storeRecoveredAt != Long.MIN_VALUE
                        && clock.nanos() - storeRecoveredAt < ROW_RETURN_TIMEOUT.toNanos();
    }

    /** Records that the row of a target that is used was removed, and returns whether that is new. */
    boolean add(TargetId id) {
        return heartbeatsSinceRemoval.put(id, HeartbeatSeries.empty()) == null;
    }

    /** Records a heartbeat, and returns all since the removal of the row if they show that it had only lapsed. */
    Optional<HeartbeatSeries> recordHeartbeat(TargetId id) {
        HeartbeatSeries known = heartbeatsSinceRemoval.get(id);
        if (known == null) {
            return Optional.empty();
        }
        HeartbeatSeries heartbeats = known.plus(clock.nanos());
        heartbeatsSinceRemoval.put(id, heartbeats);
        if (heartbeats.span().compareTo(RETURN_SPAN) < 0) {
            return Optional.empty();
        }
        heartbeatsSinceRemoval.remove(id);
        return Optional.of(heartbeats);
    }

    /** Records that the row of a target is present, whenever it was written. */
    void recordPresence(TargetId id) {
        heartbeatsSinceRemoval.computeIfPresent(
                id, (key, known) -> known.isEmpty() ? known.plus(clock.nanos()) : known);
    }

    void discardHeartbeatsUntil(long nanos) {
        heartbeatsSinceRemoval.replaceAll(
                (id, heartbeats) -> heartbeats.beganBy(nanos) ? HeartbeatSeries.empty() : heartbeats);
    }

    void remove(TargetId id) {
        heartbeatsSinceRemoval.remove(id);
    }

    /** Gets the heartbeats of the targets that have not written their rows in time, by target. */
    Map<TargetId, HeartbeatSeries> overdue() {
        if (isOutage()) {
            return Map.of();
        }
        Map<TargetId, HeartbeatSeries> overdue = new LinkedHashMap<>();
        heartbeatsSinceRemoval.forEach((id, heartbeats) -> {
            Duration limit = heartbeats.isEmpty() ? ROW_RETURN_TIMEOUT : SECOND_HEARTBEAT_TIMEOUT;
            if (storeRecoveredAt == Long.MIN_VALUE || clock.nanos() - storeRecoveredAt >= limit.toNanos()) {
                overdue.put(id, heartbeats);
            }
        });
        return overdue;
    }
}
