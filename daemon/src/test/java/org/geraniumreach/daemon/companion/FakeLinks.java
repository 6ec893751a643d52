package org.geraniumreach.daemon.companion;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Links;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.InstanceId;

/**
 * In-memory links between one entry and one companion. The test decides when each frame arrives and when each end
 * learns that a link is closed.
 */
final class FakeLinks implements Links {

    private Hello companionHello;
    private final Hello entryHello;
    private final List<FrameHandler> handlers = new ArrayList<>();
    private Optional<Link> entryLink = Optional.empty();

    FakeLinks(Hello entryHello, Hello companionHello) {
        this.entryHello = entryHello;
        this.companionHello = companionHello;
    }

    /** One connection. */
    final class Link {
        final End entryEnd = new End(companionHello);
        final End companionEnd = new End(entryHello);

        /**
         * Removes a frame that is in transit to the companion: the oldest one at position 0, or a later one that
         * overtakes it.
         */
        Optional<Frame> takeForCompanion(int position) {
            return take(entryEnd.sent, position);
        }

        void deliverToEntry(int position) {
            take(companionEnd.sent, position).ifPresent(this::deliver);
        }

        void duplicateToEntry() {
            companionEnd.sent.stream().findFirst().ifPresent(this::deliver);
        }

        private void deliver(Frame frame) {
            if (entryEnd.open) {
                handlers.forEach(handler -> handler.onFrame(entryEnd, frame));
            }
        }

        private Optional<Frame> take(List<Frame> frames, int position) {
            return position < frames.size() ? Optional.of(frames.remove(position)) : Optional.empty();
        }

        boolean isIdle() {
            return entryEnd.sent.isEmpty() && companionEnd.sent.isEmpty();
        }
    }

    /** One end of a connection, in the state that its own process sees. */
    static final class End implements Peer {
        private final Hello hello;
        private final List<Frame> sent = new ArrayList<>();
        private boolean open = true;

        private End(Hello hello) {
            this.hello = hello;
        }

        @Override
        public Hello hello() {
            return hello;
        }

        @Override
        public boolean send(Frame frame) {
            return open && sent.add(frame);
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close(String reason) {
            open = false;
        }

        boolean isOpen() {
            return open;
        }
    }

    void setCompanionHello(Hello hello) {
        companionHello = hello;
    }

    Link open() {
        Link link = new Link();
        entryLink = Optional.of(link);
        handlers.forEach(handler -> handler.onOpened(link.entryEnd));
        return link;
    }

    /** Closes the entry's end only; frames that it has sent may still arrive. */
    void closeAtEntry(Link link) {
        if (!link.entryEnd.open) {
            return;
        }
        link.entryEnd.open = false;
        entryLink = Optional.empty();
        handlers.forEach(handler -> handler.onClosed(link.entryEnd, "closed by the test"));
    }

    @Override
    public void keep(InstanceId instance, InetSocketAddress address) {}

    @Override
    public void release(InstanceId instance) {}

    @Override
    public Optional<Peer> find(InstanceId instance) {
        return entryLink.map(link -> link.entryEnd);
    }

    @Override
    public List<Peer> peers() {
        return List.of();
    }

    @Override
    public void registerHandler(Set<Frame.BodyCase> kinds, FrameHandler handler) {
        handlers.add(handler);
    }
}
