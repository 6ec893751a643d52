package org.geraniumreach.daemon.companion;

import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.AttemptId;

/**
 * The streams that a former companion has left running at the engine.
 *
 * <p>On which adapters they run is not known, so nothing may be evicted until each has been asked for by its entry, or
 * stopped. Invariant: a stream is given to one caller of {@link #take} or {@link #takeAll}. Safe for use by several threads,
 * under its own lock.
 */
final class LeftStreams {

    private final Set<AttemptId> left;
    private final Set<AttemptId> stopping = new HashSet<>();

    LeftStreams(Set<AttemptId> found) {
        this.left = new HashSet<>(found);
    }

    /**
     * Takes a stream that its entry asks for.
     *
     * @param id the stream, not null
     * @return false if it was not left, or is taken
     */
    synchronized boolean take(AttemptId id) {
        return left.remove(id);
    }

    /**
     * Takes all that nobody has asked for, to stop them.
     *
     * @return the streams, each to be told of by {@link #stopped}, not null
     */
    synchronized Set<AttemptId> takeAll() {
        Set<AttemptId> taken = new HashSet<>(left);
        stopping.addAll(taken);
        left.clear();
        return taken;
    }

    synchronized void stopped(AttemptId id) {
        stopping.remove(id);
    }

    synchronized boolean isEmpty() {
        return left.isEmpty() && stopping.isEmpty();
    }
}
