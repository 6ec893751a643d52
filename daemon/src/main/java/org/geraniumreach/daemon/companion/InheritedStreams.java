package org.geraniumreach.daemon.companion;

import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.AttemptId;

/**
 * The streams that a previous companion started and that still run at the engine.
 *
 * <p>Their adapters are not known, so no adapter may be evicted until each stream was claimed by its entry or stopped.
 * Invariant: a stream is returned to one caller of {@link #claim} or {@link #claimAll} only. Safe for use by several
 * threads, under its own lock.
 */
final class InheritedStreams {

    private final Set<AttemptId> unclaimed;
    private final Set<AttemptId> stopping = new HashSet<>();

    InheritedStreams(Set<AttemptId> running) {
        this.unclaimed = new HashSet<>(running);
    }

    /**
     * Claims a stream for its entry.
     *
     * @param id the stream, not null
     * @return false if there is no such stream or it was claimed before
     */
    synchronized boolean claim(AttemptId id) {
        return unclaimed.remove(id);
    }

    /**
     * Claims all remaining streams in order to stop them.
     *
     * @return the streams, each to be reported to {@link #onStopped}, not null
     */
    synchronized Set<AttemptId> claimAll() {
        Set<AttemptId> claimed = new HashSet<>(unclaimed);
        stopping.addAll(claimed);
        unclaimed.clear();
        return claimed;
    }

    synchronized void onStopped(AttemptId id) {
        stopping.remove(id);
    }

    synchronized boolean isEmpty() {
        return unclaimed.isEmpty() && stopping.isEmpty();
    }
}
