package org.geraniumreach.daemon.companion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Status;

/**
 * Sends the status of this companion to entries: the complete status when a link opens, then the changes.
 *
 * <p>Invariant: the first report over a link is complete, and each later one holds the changes since the report before
 * it over the same link, which delivers them in order or not at all. Safe for use by several threads, under its own
 * lock.
 */
final class StatusReporter {

    private final Map<Peer, Set<String>> reportedResidents = new HashMap<>();
    private long sequence;

    synchronized void onLinkOpened(Peer peer, Status current) {
        reportedResidents.put(peer, new HashSet<>());
        send(peer, current, true);
    }

    synchronized void onLinkClosed(Peer peer) {
        reportedResidents.remove(peer);
    }

    synchronized void report(Status current) {
        reportedResidents.keySet().forEach(peer -> send(peer, current, false));
    }

    private void send(Peer peer, Status current, boolean isComplete) {
        Set<String> previous = reportedResidents.get(peer);
        Set<String> now = new HashSet<>(current.getResidentList());
        Set<String> removed = new HashSet<>(previous);
        removed.removeAll(now);
        Set<String> added = new HashSet<>(now);
        added.removeAll(previous);
        Status report = current.toBuilder()
                .clearResident()
                .addAllResident(added)
                .addAllRemoved(removed)
                .setComplete(isComplete)
                .setSequence(++sequence)
                .build();
        peer.send(Frame.newBuilder().setStatus(report).build());
        reportedResidents.put(peer, now);
    }
}
