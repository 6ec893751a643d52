package org.geraniumreach.daemon.companion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Status;

/**
 * Tells entries of this companion: all of it when a link opens, then what has changed.
 *
 * <p>Invariant: the first report over each link is complete, and the others are changes against the one before it over the
 * same link, which carries them in order or not at all. Safe for use by several threads, under its own lock.
 */
final class StatusReporter {

    private final Map<Peer, Set<String>> told = new HashMap<>();
    private long sequence;

    synchronized void opened(Peer peer, Status current) {
        told.put(peer, new HashSet<>());
        tell(peer, current, true);
    }

    synchronized void closed(Peer peer) {
        told.remove(peer);
    }

    synchronized void report(Status current) {
        told.keySet().forEach(peer -> tell(peer, current, false));
    }

    private void tell(Peer peer, Status current, boolean complete) {
        Set<String> before = told.get(peer);
        Set<String> now = new HashSet<>(current.getResidentList());
        Set<String> removed = new HashSet<>(before);
        removed.removeAll(now);
        Set<String> added = new HashSet<>(now);
        added.removeAll(before);
        Status report = current.toBuilder()
                .clearResident()
                .addAllResident(added)
                .addAllRemoved(removed)
                .setComplete(complete)
                .setSequence(++sequence)
                .build();
        peer.send(Frame.newBuilder().setStatus(report).build());
        told.put(peer, now);
    }
}
