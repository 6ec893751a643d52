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
    private final Map<TargetId, Integer> lapsedHeartbeats = new HashMap<>();

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
            lapsedHeartbeats.computeIfPresent(description.id(), (id, heartbeats) -> nextHeartbeatCount(heartbeats));
            known.update(description, clock.nanos());
            listeners.forEach(listener -> listener.onChanged(known));
            return;
        }
        if (known != null && known.description().startedAt() > description.startedAt()) {
            return;
        }
        if (known != null) {
            remove(known);
        }
        if (!departedTargets.confirmsAlive(description)) {
            return;
        }
        Target target = new Target(description, clock.nanos());
        targets.put(target.id(), target);
        targetsByService.remove(description.service());
        listeners.forEach(listener -> listener.onJoined(target));
    }

    private static Integer nextHeartbeatCount(int heartbeats) {
        return heartbeats + 1 < DepartedTargets.CONFIRMING_HEARTBEATS ? heartbeats + 1 : null;
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
            lapsedHeartbeats.put(id, 0);
            return;
        }
        remove(target);
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
        for (Map.Entry<TargetId, Integer> entry : List.copyOf(lapsedHeartbeats.entrySet())) {
            Duration limit = entry.getValue() == 0 ? ROW_RETURN_TIMEOUT : SECOND_HEARTBEAT_TIMEOUT;
            boolean expired = storeRecoveredAt == Long.MIN_VALUE || clock.nanos() - storeRecoveredAt >= limit.toNanos();
            if (expired) {
                find(entry.getKey()).ifPresent(target -> remove(target, entry.getValue()));
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
            remove(target);
        }
    }

    private void remove(Target target) {
        remove(target, 0);
    }

    private void remove(Target target, int heartbeats) {
        target.markLeaving();
        departedTargets.recordDeparture(target.description(), heartbeats);
        lapsedHeartbeats.remove(target.id());
        targets.remove(target.id());
        targetsByService.remove(target.description().service());
        listeners.forEach(listener -> listener.onLeft(target));
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
