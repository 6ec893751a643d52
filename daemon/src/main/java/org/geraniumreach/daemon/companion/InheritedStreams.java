package org.geraniumreach.daemon.companion;

import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.AttemptId;

/**
 * The streams that a former companion has left running at the engine.
 *
 * <p>On which adapters they run is not known, so nothing may be evicted until each has been asked for by its entry, or
 * stopped. Invariant: a stream is given to one caller of {@link #claim} or {@link #claimAll}. Safe for use by several threads,
 * under its own lock.
 */
final class InheritedStreams {

    private final Set<AttemptId> unclaimed;
    private final Set<AttemptId> stopping = new HashSet<>();

    InheritedStreams(Set<AttemptId> found) {
        this.unclaimed = new HashSet<>(found);
    }

    /**
     * Takes a stream that its entry asks for.
     *
     * @param id the stream, not null
     * @return false if it was not left, or is taken
     */
    synchronized boolean claim(AttemptId id) {
        return unclaimed.remove(id);
    }

    /**
     * Takes all that nobody has asked for, to stop them.
     *
     * @return the streams, each to be told of by {@link #onStopped}, not null
     */
    synchronized Set<AttemptId> claimAll() {
        Set<AttemptId> taken = new HashSet<>(unclaimed);
        stopping.addAll(taken);
        unclaimed.clear();
        return taken;
    }

    synchronized void onStopped(AttemptId id) {
        stopping.remove(id);
    }

    synchronized boolean isEmpty() {
        return unclaimed.isEmpty() && stopping.isEmpty();
    }
}
