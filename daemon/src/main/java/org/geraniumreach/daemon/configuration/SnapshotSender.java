package org.geraniumreach.daemon.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;

/**
 * Sends the parts of snapshots only while the link to each peer is writable.
 *
 * <p>A snapshot of the largest configuration has several megabytes; sent at once, it would fill the link's buffer and delay
 * answers to callers. Invariant: while a snapshot is being sent to a peer, no other is sent to it; the peer requests
 * another if it needs one. Confined to the thread that owns the configuration.
 */
final class SnapshotSender {

    private final Map<Peer, Deque<Frame>> pendingParts = new HashMap<>();

    /**
     * Queues the parts of a snapshot and sends as many as the link accepts.
     *
     * @param peer the receiver, not null
     * @param parts the parts in order, not null
     */
    void send(Peer peer, List<Frame> parts) {
        pendingParts.putIfAbsent(peer, new ArrayDeque<>(parts));
        flush(peer);
    }

    /**
     * Sends as many queued parts as the link to a peer accepts.
     *
     * @param peer the receiver, not null
     */
    void flush(Peer peer) {
        Deque<Frame> parts = pendingParts.get(peer);
        if (parts == null) {
            return;
        }
        while (!parts.isEmpty() && peer.isWritable()) {
            peer.send(parts.remove());
        }
        if (parts.isEmpty()) {
            pendingParts.remove(peer);
        }
    }

    void onPeerClosed(Peer peer) {
        pendingParts.remove(peer);
    }
}
