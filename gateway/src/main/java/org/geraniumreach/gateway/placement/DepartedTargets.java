package org.geraniumreach.gateway.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.TargetId;

/**
 * The lives of targets whose rows went, so that a late write of their last heartbeat is not taken for a return.
 *
 * <p>A heartbeat that was on its way when the row went puts it back for three heartbeats; requests would be sent to a target
 * that has left, and be cut off when it ends. A target that lives, and was only cut off from the store, writes again and again,
 * so a second heartbeat proves it. Invariant: at most {@link #MAXIMUM_DEPARTURES} lives are remembered, the latest. Confined to the event loop.
 */
final class DepartedTargets {

    /** Heartbeats after the row went that prove a life. */
    static final int CONFIRMING_HEARTBEATS = 2;

    /** Late heartbeats come within seconds; letter 1's 760 targets are replaced some 230 times a day. */
    private static final int MAXIMUM_DEPARTURES = 256;

    private final Map<TargetId, Departure> departures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Departure> eldest) {
            return size() > MAXIMUM_DEPARTURES;
        }
    };

    private record Departure(long startedAt, int heartbeats) {}

    void recordDeparture(TargetDescription last, int heartbeats) {
        departures.remove(last.id());
        departures.put(last.id(), new Departure(last.startedAt(), heartbeats));
    }

    /** Takes a heartbeat, and tells whether it proves that the target is there. */
    boolean confirmsAlive(TargetDescription heartbeat) {
        Departure known = departures.get(heartbeat.id());
        if (known == null || heartbeat.startedAt() > known.startedAt()) {
            departures.remove(heartbeat.id());
            return true;
        }
        if (heartbeat.startedAt() < known.startedAt()) {
            return false;
        }
        int heartbeats = known.heartbeats() + 1;
        if (heartbeats >= CONFIRMING_HEARTBEATS) {
            departures.remove(heartbeat.id());
            return true;
        }
        departures.put(heartbeat.id(), new Departure(known.startedAt(), heartbeats));
        return false;
    }

    /** Forgets the heartbeats that a row that is gone again has had. */
    void resetHeartbeats(TargetId id) {
        departures.computeIfPresent(id, (name, known) -> new Departure(known.startedAt(), 0));
    }
}
