package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The targets known from the rows of the store.
 *
 * <p>Invariants: a restarted target is a new {@link Target} under the same name. A target whose row was removed gets
 * no requests, unless the row expired during a store outage, when rows expire although their targets are alive; such
 * a target is used until the store has been available for {@link #ROW_RETURN_TIMEOUT}. An incarnation whose row was
 * removed returns only on a second heartbeat, and a draining one never gets requests again. Confined to the event
 * loop.
 */
public final class TargetRegistry {

    /** Rows that expired during a store outage are rewritten within about two seconds of its end. */
    static final Duration ROW_RETURN_TIMEOUT = Duration.ofSeconds(2);

    /**
     * A single heartbeat after the removal of a row may be the last of a departed target; a live one has written a
     * second by then. An entry that was cut off from the store must detect departed targets within three seconds of
     * its return.
     */
    static final Duration SECOND_HEARTBEAT_TIMEOUT = Duration.ofMillis(2_800);

    /**
     * Rows expire after three missed heartbeats of 1.2 s, so a shorter outage expires no row of a live target. If each
     * failed store call counted as an outage, departed targets would be sent requests for seconds.
     */
    static final Duration MINIMUM_LAPSING_OUTAGE = Duration.ofMillis(2_500);

    private final MonotonicClock clock;
    private final Map<TargetId, Target> targets = new HashMap<>();
    /** Heartbeats since the row removal, by target, for rows removed during or just after a store outage. */
    private final Map<TargetId, HeartbeatSeries> lapsedHeartbeats = new HashMap<>();

    private final DepartedTargets departedTargets = new DepartedTargets();
    /** Computed on demand, since the first read adds all targets one by one. */
    private final Map<String, List<Target>> targetsByService = new HashMap<>();

    private final List<Listener> listeners = new ArrayList<>();
    private long storeRecoveredAt = Long.MIN_VALUE;
    private boolean storeUnavailable;
    private long storeUnavailableSince;

    /** Receives changes of the known targets; each method does nothing by default. */
    public interface Listener {

        /**
         * Called when a target was added or has restarted.
         *
         * @param target the target, not null
         */
        default void onJoined(Target target) {}

        /**
         * Called when a target was removed, together with everything that it held.
         *
         * @param target the target, not null
         */
        default void onLeft(Target target) {}

        /**
         * Called when the row of a known target was updated.
         *
         * @param target the target, not null
         */
        default void onChanged(Target target) {}

        /**
         * Called when something shows that an incarnation leaves or has left.
         *
         * @param target the incarnation, not null
         * @param cause what shows it, not null
         */
        default void onDeparture(Target target, DepartureCause cause) {}

        /**
         * Called when the row of a target was removed, but the target is still used since its row may have lapsed.
         *
         * @param target the target, not null
         */
        default void onRemovalHeld(Target target) {}

        /**
         * Called at the first heartbeat of a target since its row was removed, if that does not prove that it is alive.
         *
         * @param id the name of the target, not null
         */
        default void onReturnDoubted(TargetId id) {}

        /**
         * Called when heartbeats since the removal of its row prove that a target is alive.
         *
         * @param target the target, not null
         * @param heartbeats the number of heartbeats
         * @param span the time between the first and the latest one, not null
         */
        default void onReturned(Target target, int heartbeats, Duration span) {}
    }

    /**
     * Creates a registry without targets.
     *
     * @param clock the monotonic clock, not null
     */
    public TargetRegistry(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Adds a listener for changes of the targets.
     *
     * @param listener the listener, not null
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Records that the rows of the targets cannot be read. */
    public void onStoreUnavailable() {
        if (!storeUnavailable) {
            storeUnavailable = true;
            storeUnavailableSince = clock.nanos();
        }
    }

    /** Records that the rows of the targets were read successfully. */
    public void onStoreAvailable() {
        if (storeUnavailable) {
            boolean mayHaveLapsed = isOutageLapsing();
            storeUnavailable = false;
            if (mayHaveLapsed) {
                storeRecoveredAt = clock.nanos();
            }
        }
    }

    /**
     * Adds or updates a target from its row.
     *
     * @param description the content of the row, not null
     */
    public void put(TargetDescription description) {
        Target known = targets.get(description.id());
        if (known != null && known.description().isSameIncarnation(description)) {
            onLapsedHeartbeat(known);
            boolean startsDraining = description.draining() && known.acceptsRequests();
            known.update(description, clock.nanos());
            listeners.forEach(listener -> listener.onChanged(known));
            if (startsDraining) {
                notifyDeparture(known, DepartureCause.DRAINING_ROW);
            }
            return;
        }
        if (known != null && known.description().startedAt() > description.startedAt()) {
            return;
        }
        if (known != null) {
            remove(known, DepartureCause.RESTARTED);
        }
        Optional<HeartbeatSeries> doubted = departedTargets.heartbeats(description);
        if (!departedTargets.confirmsAlive(description, clock.nanos())) {
            if (doubted.filter(HeartbeatSeries::isEmpty).isPresent()) {
                listeners.forEach(listener -> listener.onReturnDoubted(description.id()));
            }
            return;
        }
        Target target = new Target(description, clock.nanos());
        targets.put(target.id(), target);
        targetsByService.remove(description.service());
        listeners.forEach(listener -> listener.onJoined(target));
        doubted.ifPresent(heartbeats -> notifyReturn(target, heartbeats.plus(clock.nanos())));
        if (description.draining()) {
            notifyDeparture(target, DepartureCause.DRAINING_ROW);
        }
    }

    private void onLapsedHeartbeat(Target target) {
        HeartbeatSeries known = lapsedHeartbeats.get(target.id());
        if (known == null) {
            return;
        }
        HeartbeatSeries heartbeats = known.plus(clock.nanos());
        if (heartbeats.count() < DepartedTargets.CONFIRMING_HEARTBEATS) {
            lapsedHeartbeats.put(target.id(), heartbeats);
            return;
        }
        lapsedHeartbeats.remove(target.id());
        notifyReturn(target, heartbeats);
    }

    private void notifyReturn(Target target, HeartbeatSeries heartbeats) {
        listeners.forEach(listener -> listener.onReturned(target, heartbeats.count(), heartbeats.span()));
    }

    private void notifyDeparture(Target target, DepartureCause cause) {
        listeners.forEach(listener -> listener.onDeparture(target, cause));
    }

    /**
     * Handles the removal of a target's row.
     *
     * @param id the name of the target, not null
     */
    public void onRowRemoved(TargetId id) {
        Target target = targets.get(id);
        if (target == null) {
            departedTargets.resetHeartbeats(id);
            return;
        }
        if (mayRowBeLapsed()) {
            boolean held = lapsedHeartbeats.put(id, HeartbeatSeries.empty()) != null;
            if (!held) {
                listeners.forEach(listener -> listener.onRemovalHeld(target));
            }
            return;
        }
        remove(target, DepartureCause.ROW_REMOVED);
    }

    /**
     * Replaces all rows; the rows of targets that are not listed count as removed.
     *
     * @param rows the contents of all rows, not null
     */
    public void replaceAll(Collection<TargetDescription> rows) {
        Set<TargetId> listed = new HashSet<>();
        rows.forEach(description -> listed.add(description.id()));
        List<TargetId> missing =
                targets.keySet().stream().filter(id -> !listed.contains(id)).toList();
        missing.forEach(this::onRowRemoved);
        rows.forEach(this::put);
    }

    private boolean mayRowBeLapsed() {
        return storeUnavailable && isOutageLapsing()
                || storeRecoveredAt != Long.MIN_VALUE
                        && clock.nanos() - storeRecoveredAt < ROW_RETURN_TIMEOUT.toNanos();
    }

    private boolean isOutageLapsing() {
        return clock.nanos() - storeUnavailableSince >= MINIMUM_LAPSING_OUTAGE.toNanos();
    }

    /** Removes targets whose rows have not been rewritten in time after a store outage. */
    public void expire() {
        if (lapsedHeartbeats.isEmpty() || storeUnavailable && isOutageLapsing()) {
            return;
        }
        for (Map.Entry<TargetId, HeartbeatSeries> entry : List.copyOf(lapsedHeartbeats.entrySet())) {
            Duration limit = entry.getValue().isEmpty() ? ROW_RETURN_TIMEOUT : SECOND_HEARTBEAT_TIMEOUT;
            boolean expired = storeRecoveredAt == Long.MIN_VALUE || clock.nanos() - storeRecoveredAt >= limit.toNanos();
            if (expired) {
                find(entry.getKey())
                        .ifPresent(target -> remove(target, DepartureCause.ROW_NOT_REWRITTEN, entry.getValue()));
            }
        }
    }

    /**
     * Removes an incarnation of a target that is known to have ended, if it is still registered.
     *
     * @param target the incarnation, not null
     */
    public void removeEnded(Target target) {
        if (targets.get(target.id()) == target) {
            remove(target, DepartureCause.ENDED);
        }
    }

    private void remove(Target target, DepartureCause cause) {
        remove(target, cause, HeartbeatSeries.empty());
    }

    private void remove(Target target, DepartureCause cause, HeartbeatSeries heartbeats) {
        target.markLeaving();
        departedTargets.recordDeparture(target.description(), heartbeats);
        lapsedHeartbeats.remove(target.id());
        targets.remove(target.id());
        targetsByService.remove(target.description().service());
        listeners.forEach(listener -> listener.onLeft(target));
        notifyDeparture(target, cause);
    }

    private List<Target> sortedTargets(String service) {
        return targets.values().stream()
                .filter(target -> target.description().service().equals(service))
                .sorted(Comparator.comparing(Target::id))
                .toList();
    }

    /**
     * Finds a target by name.
     *
     * @param id the name, not null
     * @return the current incarnation, or empty if the target is unknown
     */
    public Optional<Target> find(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * Gets the targets of a service, including leaving ones.
     *
     * @param service the service, not null
     * @return the targets sorted by name, not null
     */
    public List<Target> findByService(String service) {
        return targetsByService.computeIfAbsent(service, this::sortedTargets);
    }

    /**
     * Gets all targets.
     *
     * @return the targets, not null
     */
    public Collection<Target> all() {
        return List.copyOf(targets.values());
    }
}
