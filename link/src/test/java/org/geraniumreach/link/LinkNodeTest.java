package org.geraniumreach.link;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.Leaving;
import org.geraniumreach.messages.Ping;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class LinkNodeTest {

    private static final Frame LEAVING = Frame.newBuilder()
            .setLeaving(Leaving.newBuilder().setInstance("one"))
            .build();

    private static byte[] framed(byte[] body, int length) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeInt(length);
            out.write(body);
        } catch (IOException impossible) {
            throw new AssertionError(impossible);
        }
        return bytes.toByteArray();
    }

    private static byte[] framed(Frame frame) {
        return framed(frame.toByteArray(), frame.getSerializedSize());
    }

    private static byte[] hello(String instance) {
        return framed(Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(1)
                        .setInstance(instance)
                        .setIncarnation(1))
                .build());
    }

    @Test
    void framesPassInBothDirections() throws IOException {
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1)) {
            one.node.keep(two.instance, two.address);
            TestNode.await(() -> one.isLinkedWith(two) && two.isLinkedWith(one));
            assertThat(one.node.find(two.instance).orElseThrow().send(LEAVING)).isTrue();
            assertThat(two.node.find(one.instance).orElseThrow().send(LEAVING)).isTrue();
            TestNode.await(() -> one.received.contains(LEAVING) && two.received.contains(LEAVING));
        }
    }

    @Test
    void silentLinkIsReplacedByNewConnection() throws IOException {
        // A network device between the two ends stops forwarding on their open connection without closing it. The pings
        // stay unanswered, the link is closed, and a new connection carries frames again.
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1);
                SilencingProxy proxy = SilencingProxy.start(two.address)) {
            one.node.keep(two.instance, proxy.address());
            TestNode.await(() -> one.isLinkedWith(two));
            Peer silenced = one.node.find(two.instance).orElseThrow();
            proxy.silenceOpenConnections();
            TestNode.await(() -> one.opened.size() > 1 && one.isLinkedWith(two));
            assertThat(silenced.send(LEAVING)).isFalse();
            TestNode.await(() -> {
                one.node.find(two.instance).ifPresent(peer -> peer.send(LEAVING));
                return two.received.contains(LEAVING);
            });
            assertThat(proxy.connectionCount()).isGreaterThan(1);
        }
    }

    @Test
    void lostConnectionIsReopened() throws IOException {
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1)) {
            one.node.keep(two.instance, two.address);
            for (int round = 1; round <= 5; round++) {
                int previous = round;
                TestNode.await(() -> {
                    two.node.find(one.instance).ifPresent(peer -> peer.close("test"));
                    return one.opened.size() > previous;
                });
            }
        }
    }

    @Test
    void releasedLinkStaysClosed() throws IOException {
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1)) {
            one.node.keep(two.instance, two.address);
            TestNode.await(() -> one.isLinkedWith(two));
            one.node.release(two.instance);
            TestNode.await(() -> !one.isLinkedWith(two) && !two.isLinkedWith(one));
            assertThat(one.opened).hasSize(1);
        }
    }

    @Test
    void newerIncarnationReplacesOlder() throws IOException {
        // A process is replaced under the same instance name while its previous connection is still open at the peer.
        // Frames sent to the instance must reach the new process, and the old one must not reconnect.
        try (TestNode two = TestNode.start("two", 1);
                TestNode older = TestNode.start("one", 1);
                TestNode newer = TestNode.start("one", 2)) {
            older.node.keep(two.instance, two.address);
            TestNode.await(() -> two.isLinkedWith(older));
            newer.node.keep(two.instance, two.address);
            TestNode.await(() -> two.node
                    .find(older.instance)
                    .filter(peer -> peer.hello().getIncarnation() == 2)
                    .isPresent());
            TestNode.await(() -> !older.closed.isEmpty());
            assertThat(two.node.peers()).hasSize(1);
            assertThat(two.node.find(older.instance).orElseThrow().hello().getIncarnation())
                    .isEqualTo(2);
        }
    }

    @Test
    void unexpectedInstanceAtAddressIsRefused() throws IOException {
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1);
                TestNode three = TestNode.start("three", 1)) {
            one.node.keep(three.instance, two.address);
            TestNode.await(() -> one.events.contains(EventCode.LINK_LOST));
            assertThat(one.isLinkedWith(two)).isFalse();
            assertThat(one.isLinkedWith(three)).isFalse();
        }
    }

    static Stream<Arguments> badInput() {
        byte[] tooLong = framed(new byte[0], 1 << 30);
        byte[] negative = framed(new byte[0], -1);
        byte[] notProtobuf = framed(new byte[] {(byte) 0xff, (byte) 0xff, 1}, 3);
        byte[] truncated = framed(new byte[] {10, 100, 8}, 3);
        byte[] unknownType = framed(new byte[] {(byte) 0xfa, 0x7f, 0}, 3);
        return Stream.of(
                Arguments.of("too long", tooLong),
                Arguments.of("of negative length", negative),
                Arguments.of("not protobuf", notProtobuf),
                Arguments.of("truncated within", truncated),
                Arguments.of("of unknown type", unknownType),
                Arguments.of("empty", framed(new byte[0], 0)),
                Arguments.of("a second Hello", hello("raw")));
    }

    @ParameterizedTest(name = "a frame {0}")
    @MethodSource("badInput")
    void invalidFrameClosesOnlyItsOwnLink(String description, byte[] bytes) throws IOException {
        // A peer sends an invalid frame. Its link is closed and FRAME_REFUSED is reported; other links stay open.
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1);
                Socket raw = new Socket(two.address.getAddress(), two.address.getPort())) {
            one.node.keep(two.instance, two.address);
            TestNode.await(() -> two.isLinkedWith(one) && one.isLinkedWith(two));
            raw.getOutputStream().write(hello("raw"));
            raw.getOutputStream().write(bytes);
            awaitClosed(raw);
            TestNode.await(() -> two.events.contains(EventCode.FRAME_REFUSED));
            assertThat(two.isLinkedWith(one)).isTrue();
            one.node.find(two.instance).orElseThrow().send(LEAVING);
            TestNode.await(() -> two.received.contains(LEAVING));
            assertThat(one.closed).isEmpty();
        }
    }

    @Test
    void peerWithoutHelloIsDisconnected() throws IOException {
        // A peer connects and sends nothing. Its connection is closed after the Hello limit, so such peers cannot
        // exhaust the process's resources.
        try (TestNode two = TestNode.start("two", 1);
                Socket raw = new Socket(two.address.getAddress(), two.address.getPort())) {
            awaitClosed(raw);
            TestNode.await(() -> two.events.contains(EventCode.LINK_LOST));
        }
    }

    @Test
    void peerThatStopsMidFrameIsDisconnected() throws IOException {
        // A peer sends half a frame and then nothing. It answers no pings, so its link is closed like a silent one.
        try (TestNode two = TestNode.start("two", 1);
                Socket raw = new Socket(two.address.getAddress(), two.address.getPort())) {
            raw.getOutputStream().write(hello("raw"));
            raw.getOutputStream().write(framed(new byte[10], 1_000));
            awaitClosed(raw);
            TestNode.await(() -> two.events.contains(EventCode.LINK_LOST));
            assertThat(two.received).isEmpty();
        }
    }

    @Test
    void firstFrameMustBeHello() throws IOException {
        try (TestNode two = TestNode.start("two", 1);
                Socket raw = new Socket(two.address.getAddress(), two.address.getPort())) {
            raw.getOutputStream()
                    .write(framed(Frame.newBuilder().setPing(Ping.newBuilder()).build()));
            awaitClosed(raw);
            TestNode.await(() -> two.events.contains(EventCode.FRAME_REFUSED));
            assertThat(two.opened).isEmpty();
        }
    }

    @Test
    void oversizedFrameIsNotSent() throws IOException {
        // The peer would close the whole link when it receives such a frame. It is not sent, send() returns false, and
        // the link stays open.
        try (TestNode one = TestNode.start("one", 1);
                TestNode two = TestNode.start("two", 1)) {
            one.node.keep(two.instance, two.address);
            TestNode.await(() -> one.isLinkedWith(two));
            Peer peer = one.node.find(two.instance).orElseThrow();
            ByteString large = ByteString.copyFrom(new byte[70 * 1024]);
            assertThat(peer.send(Frame.newBuilder()
                            .setChunk(Chunk.newBuilder().setPayload(large))
                            .build()))
                    .isFalse();
            assertThat(peer.send(LEAVING)).isTrue();
            TestNode.await(() -> two.received.contains(LEAVING));
        }
    }

    private static void awaitClosed(Socket raw) throws IOException {
        raw.setSoTimeout(30_000);
        byte[] buffer = new byte[4096];
        try {
            while (raw.getInputStream().read(buffer) >= 0) {
                continue;
            }
        } catch (java.net.SocketException reset) {
            return;
        }
    }
}
