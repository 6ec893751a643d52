package org.geraniumreach.daemon.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;

/**
 * Sends the parts of snapshots as fast as each peer takes them.
 *
 * <p>A snapshot of the largest configuration is some megabytes; sent at once it would fill the link's buffer and hold up
 * answers to callers. Invariant: a peer that is still being sent a snapshot is not sent another; it asks again if it needs
 * one. Confined to the thread that owns the configuration.
 */
final class SnapshotSender {

    private final Map<Peer, Deque<Frame>> pendingParts = new HashMap<>();

    /**
     * Takes the parts of a snapshot and sends what the peer takes now.
     *
     * @param peer the receiver, not null
     * @param parts the parts in their order, not null
     */
    void send(Peer peer, List<Frame> parts) {
        pendingParts.putIfAbsent(peer, new ArrayDeque<>(parts));
        flush(peer);
    }

    /**
     * Sends what a peer takes now.
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
