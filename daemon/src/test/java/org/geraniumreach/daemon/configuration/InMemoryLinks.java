package org.geraniumreach.daemon.configuration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
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

/** Links within one process; {@code send} delivers a frame to the other end before it returns. */
final class InMemoryLinks implements Links {

    private final Hello hello;
    private final Map<InstanceId, Peer> openPeers = new ConcurrentHashMap<>();
    private final List<Registration> handlers = new ArrayList<>();

    private record Registration(Set<Frame.BodyCase> kinds, FrameHandler handler) {}

    InMemoryLinks(String instance, String role) {
        hello = Hello.newBuilder()
                .setInstance(instance)
                .setRole(role)
                .setIncarnation(1)
                .setFailureDomain("west-a")
                .build();
    }

    void connect(InMemoryLinks other) {
        End localEnd = new End(this, other);
        End remoteEnd = new End(other, this);
        localEnd.reverse = remoteEnd;
        remoteEnd.reverse = localEnd;
        openPeers.put(InstanceId.of(other.hello.getInstance()), localEnd);
        other.openPeers.put(InstanceId.of(hello.getInstance()), remoteEnd);
        handlers.forEach(registered -> registered.handler().onOpened(localEnd));
        other.handlers.forEach(registered -> registered.handler().onOpened(remoteEnd));
    }

    private void receive(Peer peer, Frame frame) {
        handlers.stream()
                .filter(registered -> registered.kinds().contains(frame.getBodyCase()))
                .forEach(registered -> registered.handler().onFrame(peer, frame));
    }

    @Override
    public void keep(InstanceId instance, InetSocketAddress address) {}

    @Override
    public void release(InstanceId instance) {}

    @Override
    public Optional<Peer> find(InstanceId instance) {
        return Optional.ofNullable(openPeers.get(instance));
    }

    @Override
    public List<Peer> peers() {
        return List.copyOf(openPeers.values());
    }

    @Override
    public void registerHandler(Set<Frame.BodyCase> kinds, FrameHandler handler) {
        handlers.add(new Registration(kinds, handler));
    }

    /** The peer that one end of a link sees. */
    private static final class End implements Peer {

        private final InMemoryLinks to;
        private End reverse;

        End(InMemoryLinks from, InMemoryLinks to) {
            this.to = to;
        }

        @Override
        public Hello hello() {
            return to.hello;
        }

        @Override
        public boolean send(Frame frame) {
            to.receive(reverse, frame);
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close(String reason) {}
    }
}
