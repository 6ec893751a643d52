package org.geraniumreach.node;

import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.gateway.store.FeedRelay;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.gateway.store.ReaderSelection;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;

/**
 * Forwards the store updates that this entry reads to the other entries of its failure domain, over the links.
 *
 * <p>Confined to the event loop.
 */
final class DomainRelay implements FeedRelay {

    private final String self;
    private final EntryLinks links;
    private final EntryCapacity capacity;

    DomainRelay(String self, EntryLinks links, EntryCapacity capacity) {
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.self = Objects.requireNonNull(self, "self");
        this.links = Objects.requireNonNull(links, "links");
    }

    @Override
    public boolean isReader() {
        List<String> others = links.domainPeers().stream()
                .map(peer -> peer.hello().getInstance())
                .toList();
        return ReaderSelection.isReader(self, others, capacity);
    }

    @Override
    public void publish(FeedUpdate update) {
        List<Peer> peers = links.domainPeers();
        if (peers.isEmpty()) {
            return;
        }
        Frame frame = FeedUpdates.toFrame(update);
        // A peer whose link is not writable misses the update, detects the gap and reads the store itself.
        peers.stream().filter(Peer::isWritable).forEach(peer -> peer.send(frame));
    }
}
