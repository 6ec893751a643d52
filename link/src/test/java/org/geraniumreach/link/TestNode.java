package org.geraniumreach.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;

/** A link node that records the events, frames and links that it receives. */
final class TestNode implements FrameHandler, AutoCloseable {

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);

    final InstanceId instance;
    final LinkNode node;
    final InetSocketAddress address;
    final List<EventCode> events = new CopyOnWriteArrayList<>();
    final List<Frame> received = new CopyOnWriteArrayList<>();
    final List<Peer> opened = new CopyOnWriteArrayList<>();
    final List<String> closed = new CopyOnWriteArrayList<>();

    private TestNode(String name, long incarnation, LinkSettings settings) throws IOException {
        instance = InstanceId.of(name);
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(1)
                .setInstance(name)
                .setIncarnation(incarnation)
                .build();
        node = LinkNode.create(settings, () -> hello, (event, detail) -> events.add(event));
        node.registerHandler(EnumSet.allOf(Frame.BodyCase.class), this);
        address = node.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    static TestNode start(String name, long incarnation) throws IOException {
        return new TestNode(name, incarnation, fastSettings());
    }

    static LinkSettings fastSettings() {
        LinkSettings defaults = LinkSettings.defaults();
        return new LinkSettings(
                defaults.connectLimit(),
                Duration.ofMillis(200),
                Duration.ofMillis(50),
                defaults.unansweredPings(),
                Duration.ofMillis(5),
                Duration.ofMillis(50),
                64 * 1024,
                defaults.writeBufferLow(),
                defaults.writeBufferHigh(),
                1,
                defaults.resumeLimit(),
                defaults.answerLimit(),
                defaults.deadlineGrace());
    }

    boolean isLinkedWith(TestNode other) {
        return node.find(other.instance).isPresent();
    }

    @Override
    public void onOpened(Peer peer) {
        opened.add(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        received.add(frame);
    }

    @Override
    public void onClosed(Peer peer, String reason) {
        closed.add(reason);
    }

    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("condition not met within " + AWAIT_TIMEOUT);
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        }
    }

    @Override
    public void close() {
        node.close();
    }
}
