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
 * a target is used until the store has been available for {@link LapsedRows#ROW_RETURN_TIMEOUT}. An incarnation whose row was
 * removed returns only once its heartbeats prove that it is alive, see {@link DepartedTargets}. One that has said that it
 * leaves, in its row or in an answer, never gets requests again. Confined to the event loop.
 */
public final class TargetRegistry {

    /** The registry is used at least as often, unless this process was paused. */
    static final Duration MAXIMUM_IDLE_TIME = Duration.ofMillis(1_500);

    private final MonotonicClock clock;
    private final Map<TargetId, Target> targets = new HashMap<>();
    private final LapsedRows lapsedRows;
    private final DepartedTargets departedTargets;
    /** Computed on demand, since the first read adds all targets one by one. */
    private final Map<String, List<Target>> targetsByService = new HashMap<>();

    private final List<Listener> listeners = new ArrayList<>();
    private long lastUsedAt;

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
        this.lapsedRows = new LapsedRows(clock);
        this.departedTargets = new DepartedTargets(clock);
        this.lastUsedAt = clock.nanos();
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
        lapsedRows.onStoreUnavailable();
    }

    /** Records that the rows of the targets were read successfully. */
    public void onStoreAvailable() {
        discardOutdatedHeartbeats();
        lapsedRows.onStoreAvailable();
    }

    /**
     * Adds or updates a target from a heartbeat, which has written its row.
     *
     * @param description the content of the row, not null
     */
    public void put(TargetDescription description) {
        discardOutdatedHeartbeats();
        if (isRegistered(description)) {
            Target known = targets.get(description.id());
            lapsedRows.recordHeartbeat(known.id()).ifPresent(heartbeats -> notifyReturn(known, heartbeats));
            update(known, description);
            return;
        }
        Optional<HeartbeatSeries> earlier = departedTargets.heartbeats(description);
        departedTargets.recordHeartbeat(description);
        putUnregistered(description, earlier);
    }

    /** Adds or updates a target from a row that may have been read before. */
    private void putListed(TargetDescription description) {
        if (isRegistered(description)) {
            lapsedRows.recordPresence(description.id());
            update(targets.get(description.id()), description);
            return;
        }
        Optional<HeartbeatSeries> earlier = departedTargets.heartbeats(description);
        departedTargets.recordPresence(description);
        putUnregistered(description, earlier);
    }

    private boolean isRegistered(TargetDescription description) {
        Target known = targets.get(description.id());
        return known != null && known.description().isSameIncarnation(description);
    }

    private void update(Target target, TargetDescription newer) {
        target.update(newer, clock.nanos());
        listeners.forEach(listener -> listener.onChanged(target));
        if (newer.draining()) {
            announceDrainingRow(target);
        }
    }

    private void putUnregistered(TargetDescription description, Optional<HeartbeatSeries> earlier) {
        Target known = targets.get(description.id());
        boolean outdated = known != null && known.description().startedAt() > description.startedAt();
        if (outdated || departedTargets.isOutdated(description)) {
            return;
        }
        if (known != null) {
            remove(known, DepartureCause.RESTARTED);
        }
        if (departedTargets.heartbeats(description).isEmpty()) {
            join(description);
            return;
        }
        if (description.draining()) {
            departedTargets.announce(description);
        }
        if (departedTargets.isProvenAlive(description)) {
            readmit(description);
        } else if (earlier.filter(HeartbeatSeries::isEmpty).isPresent()) {
            listeners.forEach(listener -> listener.onReturnDoubted(description.id()));
        }
    }

    private void readmit(TargetDescription description) {
        HeartbeatSeries heartbeats = departedTargets.heartbeats(description).orElse(HeartbeatSeries.empty());
        join(description);
        find(description.id()).ifPresent(target -> notifyReturn(target, heartbeats));
    }

    private void join(TargetDescription description) {
        departedTargets.forget(description.id());
        Target target = new Target(description, clock.nanos());
        targets.put(target.id(), target);
        targetsByService.remove(description.service());
        listeners.forEach(listener -> listener.onJoined(target));
        if (description.draining()) {
            announceDrainingRow(target);
        }
    }

    private void announceDrainingRow(Target target) {
        if (announceDeparture(target)) {
            notifyDeparture(target, DepartureCause.DRAINING_ROW);
        }
    }

    /**
     * Records that an incarnation has said that it leaves. It gets no more requests, whatever its row says from now on.
     *
     * @param target the incarnation, not null
     * @return false if it was known already
     */
    public boolean announceDeparture(Target target) {
        target.markLeaving();
        return departedTargets.announce(target.description());
    }

    /** Discards heartbeats that were read before a store outage or a pause of this process. */
    private void discardOutdatedHeartbeats() {
        long now = clock.nanos();
        if (lapsedRows.isOutage()) {
            departedTargets.discardHeartbeatsUntil(lapsedRows.outageStart());
            lapsedRows.discardHeartbeatsUntil(lapsedRows.outageStart());
        }
        if (now - lastUsedAt > MAXIMUM_IDLE_TIME.toNanos()) {
            departedTargets.discardHeartbeatsUntil(now);
        }
        lastUsedAt = now;
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
            departedTargets.onRowRemoved(id);
            return;
        }
        if (lapsedRows.mayRowLapse()) {
            if (lapsedRows.add(id)) {
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
        departedTargets.retainRows(listed);
        discardOutdatedHeartbeats();
        rows.forEach(this::putListed);
    }

    /**
     * Removes targets whose rows have not been rewritten in time after a store outage, and takes targets into use again whose
     * rows have stood for long enough.
     */
    public void expire() {
        discardOutdatedHeartbeats();
        if (!lapsedRows.isStoreUnavailable()) {
            departedTargets.provenAlive().forEach(this::readmit);
        }
        lapsedRows.overdue().forEach((id, heartbeats) -> find(id).ifPresent(
                        target -> removeLapsed(target, heartbeats)));
    }

    private void removeLapsed(Target target, HeartbeatSeries heartbeats) {
        departedTargets.recordRemoval(target.description(), LapsedRows.RETURN_SPAN, heartbeats);
        unregister(target, DepartureCause.ROW_NOT_REWRITTEN);
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
        departedTargets.recordRemoval(target.description(), DepartedTargets.RETURN_SPAN, HeartbeatSeries.empty());
        unregister(target, cause);
    }

    private void unregister(Target target, DepartureCause cause) {
        target.markLeaving();
        lapsedRows.remove(target.id());
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
