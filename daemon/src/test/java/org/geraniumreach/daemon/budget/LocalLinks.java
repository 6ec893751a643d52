package org.geraniumreach.daemon.budget;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Links;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.InstanceId;

/** Links between entries of one process; {@code send} delivers a frame before it returns. */
final class LocalLinks implements Links {

    private final InstanceId self;
    private final Map<InstanceId, LocalLinks> network;
    private volatile FrameHandler handler;

    LocalLinks(InstanceId self, Map<InstanceId, LocalLinks> network) {
        this.self = self;
        this.network = network;
        network.put(self, this);
    }

    static Map<InstanceId, LocalLinks> network() {
        return new ConcurrentHashMap<>();
    }

    @Override
    public void keep(InstanceId instance, InetSocketAddress address) {
        throw new UnsupportedOperationException("all entries are linked permanently");
    }

    @Override
    public void release(InstanceId instance) {
        throw new UnsupportedOperationException("all entries are linked permanently");
    }

    @Override
    public Optional<Peer> find(InstanceId instance) {
        return Optional.ofNullable(network.get(instance)).map(other -> new LocalPeer(other, this));
    }

    @Override
    public List<Peer> peers() {
        return network.values().stream()
                .filter(other -> other != this)
                .<Peer>map(other -> new LocalPeer(other, this))
                .toList();
    }

    @Override
    public void registerHandler(Set<Frame.BodyCase> kinds, FrameHandler newHandler) {
        handler = newHandler;
    }

    /** One end of a link; {@code sender} is the local end. */
    private record LocalPeer(LocalLinks other, LocalLinks sender) implements Peer {

        @Override
        public Hello hello() {
            return Hello.newBuilder()
                    .setInstance(other.self.value())
                    .setRole("entry")
                    .build();
        }

        @Override
        public boolean send(Frame frame) {
            FrameHandler receiver = other.handler;
            if (receiver == null) {
                return false;
            }
            receiver.onFrame(new LocalPeer(sender, other), frame);
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close(String reason) {
            throw new UnsupportedOperationException("closing is not simulated");
        }
    }
}
