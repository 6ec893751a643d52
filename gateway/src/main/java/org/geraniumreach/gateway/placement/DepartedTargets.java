package org.geraniumreach.gateway.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.TargetId;

/**
 * Remembers target incarnations whose rows were removed, so that a late heartbeat is not mistaken for a return.
 *
 * <p>A heartbeat that was in flight when the row was removed recreates the row for three heartbeat intervals.
 * Requests sent to the departed target would be cut off when it ends. A target that is alive, and had only lost its
 * connection to the store, keeps writing heartbeats, so a second heartbeat confirms it. Invariant: only the latest
 * {@link #MAXIMUM_DEPARTURES} departures are kept. Confined to the event loop.
 */
final class DepartedTargets {

    /** Heartbeats after the removal of the row that confirm that the incarnation is alive. */
    static final int CONFIRMING_HEARTBEATS = 2;

    /** Late heartbeats arrive within seconds, and of 760 targets about 230 are replaced a day. */
    private static final int MAXIMUM_DEPARTURES = 256;

    private final Map<TargetId, Departure> departures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Departure> eldest) {
            return size() > MAXIMUM_DEPARTURES;
        }
    };

    private record Departure(long startedAt, HeartbeatSeries heartbeats) {}

    void recordDeparture(TargetDescription last, HeartbeatSeries heartbeats) {
        departures.remove(last.id());
        departures.put(last.id(), new Departure(last.startedAt(), heartbeats));
    }

    /** Gets the heartbeats since the removal of an incarnation's row, empty if this incarnation has not departed. */
    Optional<HeartbeatSeries> heartbeats(TargetDescription description) {
        return Optional.ofNullable(departures.get(description.id()))
                .filter(known -> known.startedAt() == description.startedAt())
                .map(Departure::heartbeats);
    }

    /** Records a heartbeat and returns whether it confirms that the target is alive. */
    boolean confirmsAlive(TargetDescription heartbeat, long now) {
        Departure known = departures.get(heartbeat.id());
        if (known == null || heartbeat.startedAt() > known.startedAt()) {
            departures.remove(heartbeat.id());
            return true;
        }
        if (heartbeat.startedAt() < known.startedAt()) {
            return false;
        }
        HeartbeatSeries heartbeats = known.heartbeats().plus(now);
        if (heartbeats.count() >= CONFIRMING_HEARTBEATS) {
            departures.remove(heartbeat.id());
            return true;
        }
        departures.put(heartbeat.id(), new Departure(known.startedAt(), heartbeats));
        return false;
    }

    /** Resets the heartbeat count of a departed target whose row was removed again. */
    void resetHeartbeats(TargetId id) {
        departures.computeIfPresent(id, (key, known) -> new Departure(known.startedAt(), HeartbeatSeries.empty()));
    }
}
