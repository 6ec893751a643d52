package org.geraniumreach.gateway.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.model.TargetId;

/**
 * The lives of targets whose rows went, so that a late write of their last heartbeat is not taken for a return.
 *
 * <p>A heartbeat that was on its way when the row went puts it back for three heartbeats; requests would be sent to a target
 * that has left, and be cut off when it ends. A target that lives, and was only cut off from the store, writes again and again,
 * so a second heartbeat proves it. Invariant: at most {@link #MOST} lives are remembered, the latest. Confined to the event loop.
 */
final class DepartedTargets {

    /** Heartbeats after the row went that prove a life. */
    static final int PROOF = 2;

    /** Late heartbeats come within seconds; letter 1's 760 targets are replaced some 230 times a day. */
    private static final int MOST = 256;

    private final Map<TargetId, Departed> departed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Departed> eldest) {
            return size() > MOST;
        }
    };

    private record Departed(long startedAt, int heartbeats) {}

    void left(TargetDescription last, int heartbeats) {
        departed.remove(last.id());
        departed.put(last.id(), new Departed(last.startedAt(), heartbeats));
    }

    /** Takes a heartbeat, and tells whether it proves that the target is there. */
    boolean isProven(TargetDescription heartbeat) {
        Departed known = departed.get(heartbeat.id());
        if (known == null || heartbeat.startedAt() > known.startedAt()) {
            departed.remove(heartbeat.id());
            return true;
        }
        if (heartbeat.startedAt() < known.startedAt()) {
            return false;
        }
        int heartbeats = known.heartbeats() + 1;
        if (heartbeats >= PROOF) {
            departed.remove(heartbeat.id());
            return true;
        }
        departed.put(heartbeat.id(), new Departed(known.startedAt(), heartbeats));
        return false;
    }

    /** Forgets the heartbeats that a row that is gone again has had. */
    void leftAgain(TargetId id) {
        departed.computeIfPresent(id, (name, known) -> new Departed(known.startedAt(), 0));
    }
}
