package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Remembers target incarnations that have announced that they leave, or whose rows were removed.
 *
 * <p>Heartbeats that were in flight when a row was removed recreate it, and requests that follow them would be cut off when
 * the target ends. A target that is alive, and had only lost its connection to the store, keeps writing heartbeats for longer
 * than any can have been in flight.
 *
 * <p>Invariants: an incarnation that has announced that it leaves never returns. Another one returns once its heartbeats since
 * the removal span the required time, or once its row has stood for {@link #STANDING_TIME}. Only the latest
 * {@link #MAXIMUM_DEPARTURES} departures are kept. Confined to the event loop.
 */
final class DepartedTargets {

    /** Live targets write a heartbeat each interval, and a row is removed after three intervals of silence. */
    static final Duration EXPIRY_TIME = Duration.ofMillis(3_600);

    /** Heartbeats that were in flight when the row was removed arrive within a shorter time. */
    static final Duration RETURN_SPAN = EXPIRY_TIME;

    /**
     * A row that has stood for this time was written again later than {@link #RETURN_SPAN} after its return, even if that changed
     * nothing in it: otherwise it would have been removed, and the removal would have been read.
     */
    static final Duration STANDING_TIME = RETURN_SPAN.plus(EXPIRY_TIME).plusMillis(2_000);

    /** More than the targets that a fleet replaces within a day. */
    private static final int MAXIMUM_DEPARTURES = 1_024;

    private final MonotonicClock clock;

    private final Map<TargetId, Departure> departures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Departure> eldest) {
            return size() > MAXIMUM_DEPARTURES;
        }
    };

    /**
     * What is known of an incarnation that has departed.
     *
     * @param startedAt the time of its start
     * @param announced whether it has announced that it leaves
     * @param requiredSpan the time that its heartbeats have to span until it returns
     * @param heartbeats the heartbeats since the removal of its row
     * @param row the content of its row, empty while there is none
     */
    private record Departure(
            long startedAt,
            boolean announced,
            Duration requiredSpan,
            HeartbeatSeries heartbeats,
            Optional<TargetDescription> row) {

        Departure withoutRow(Duration newSpan) {
            return new Departure(startedAt, announced, newSpan, HeartbeatSeries.empty(), Optional.empty());
        }

        Departure with(TargetDescription description, HeartbeatSeries newer) {
            return new Departure(startedAt, announced, requiredSpan, newer, Optional.of(description));
        }
    }

    DepartedTargets(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records that an incarnation has announced that it leaves, and returns whether that is new. */
    boolean announce(TargetDescription incarnation) {
        Optional<Departure> known = find(incarnation);
        boolean outdated = departures.containsKey(incarnation.id())
                && departures.get(incarnation.id()).startedAt() > incarnation.startedAt();
        if (outdated || known.filter(Departure::announced).isPresent()) {
            return false;
        }
        put(incarnation, true, RETURN_SPAN, HeartbeatSeries.empty());
        return true;
    }

    /** Records that an incarnation is not registered any more, with the heartbeats since the removal of its row. */
    void recordRemoval(TargetDescription last, Duration requiredSpan, HeartbeatSeries heartbeats) {
        boolean announced = find(last).filter(Departure::announced).isPresent();
        put(last, announced, requiredSpan, heartbeats);
    }

    private void put(
            TargetDescription incarnation, boolean announced, Duration requiredSpan, HeartbeatSeries heartbeats) {
        departures.remove(incarnation.id());
        departures.put(
                incarnation.id(),
                new Departure(
                        incarnation.startedAt(),
                        announced,
                        requiredSpan,
                        heartbeats,
                        heartbeats.isEmpty() ? Optional.empty() : Optional.of(incarnation)));
    }

    /** Queries whether a row belongs to an incarnation that is older than one that has departed. */
    boolean isOutdated(TargetDescription row) {
        Departure known = departures.get(row.id());
        return known != null && row.startedAt() < known.startedAt();
    }

    /** Gets the heartbeats since the removal of an incarnation's row, empty if this incarnation has not departed. */
    Optional<HeartbeatSeries> heartbeats(TargetDescription row) {
        return find(row).map(Departure::heartbeats);
    }

    /** Records a heartbeat, which counts if its incarnation has departed. */
    void recordHeartbeat(TargetDescription row) {
        find(row)
                .ifPresent(known -> departures.put(
                        row.id(), known.with(row, known.heartbeats().plus(clock.nanos()))));
    }

    /** Records that a row is present, whenever it was written, which counts if its incarnation has departed. */
    void recordPresence(TargetDescription row) {
        if (heartbeats(row).filter(HeartbeatSeries::isEmpty).isPresent()) {
            recordHeartbeat(row);
        }
    }

    /** Queries whether an incarnation that has departed has proved to be alive. */
    boolean isProvenAlive(TargetDescription row) {
        return find(row).filter(this::isProvenAlive).isPresent();
    }

    private boolean isProvenAlive(Departure departure) {
        HeartbeatSeries heartbeats = departure.heartbeats();
        if (departure.announced() || departure.row().isEmpty() || heartbeats.isEmpty()) {
            return false;
        }
        return heartbeats.span().compareTo(departure.requiredSpan()) >= 0
                || clock.nanos() - heartbeats.firstAt() >= STANDING_TIME.toNanos();
    }

    /** Gets the rows of the incarnations that have proved to be alive. */
    List<TargetDescription> provenAlive() {
        return departures.values().stream()
                .filter(this::isProvenAlive)
                .map(departure -> departure.row().orElseThrow())
                .toList();
    }

    /** Forgets the departure of a target, of which an incarnation is used again. */
    void forget(TargetId id) {
        departures.remove(id);
    }

    /** Records that the row of a departed target was removed again, outside a store outage. */
    void onRowRemoved(TargetId id) {
        departures.computeIfPresent(id, (key, known) -> known.withoutRow(RETURN_SPAN));
    }

    /** Forgets the rows of all targets that are not listed. */
    void retainRows(Set<TargetId> listed) {
        departures.replaceAll((id, known) -> listed.contains(id) ? known : known.withoutRow(known.requiredSpan()));
    }

    /**
     * Forgets heartbeats that were read up to a time. Late ones may be read at any time if the store was unavailable or this
     * process was paused in between, so the time between them proves nothing.
     */
    void discardHeartbeatsUntil(long nanos) {
        departures.replaceAll(
                (id, known) -> known.heartbeats().beganBy(nanos) ? known.withoutRow(known.requiredSpan()) : known);
    }

    private Optional<Departure> find(TargetDescription incarnation) {
        return Optional.ofNullable(departures.get(incarnation.id()))
                .filter(known -> known.startedAt() == incarnation.startedAt());
    }
}
