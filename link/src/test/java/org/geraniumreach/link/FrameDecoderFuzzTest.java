package org.geraniumreach.link;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.EventCode;

import static org.assertj.core.api.Assertions.assertThat;

class FrameDecoderFuzzTest {

    private final List<EventCode> events = new ArrayList<>();

    private final class Owner implements LinkChannel.Owner {
        @Override
        public Hello localHello() {
            return Hello.newBuilder().setProtocolVersion(1).setInstance("local").build();
        }

        @Override
        public String admit(LinkChannel link) {
            return "";
        }

        @Override
        public void onClosed(LinkChannel link, String reason) {}

        @Override
        public void onEvent(EventCode event, String detail) {
            events.add(event);
        }
    }

    private EmbeddedChannel channel() {
        events.clear();
        EmbeddedChannel channel = new EmbeddedChannel();
        LinkPipeline.configure(
                channel.pipeline(),
                TestNode.fastSettings(),
                new LinkChannel(TestNode.fastSettings(), new HandlerRegistry(), new Owner(), true));
        channel.pipeline().fireChannelActive();
        return channel;
    }

    @Property(seed = "6", tries = 3000)
    void arbitraryBytesCauseNoUnexpectedFailure(
            @ForAll @Size(max = 8) List<@Size(max = 64) byte[]> pieces, @ForAll boolean helloFirst) {
        // A peer sends arbitrary bytes in arbitrary pieces. At worst its own link is closed; no exception escapes.
        EmbeddedChannel channel = channel();
        if (helloFirst) {
            write(channel, helloBytes());
        }
        pieces.forEach(piece -> write(channel, piece));
        channel.checkException();
        channel.finishAndReleaseAll();
        assertThat(events).doesNotContain(EventCode.UNEXPECTED_FAILURE);
    }

    @Property(seed = "7", tries = 3000)
    void damagedFramesCauseNoUnexpectedFailure(
            @ForAll @IntRange(max = 60) int position, @ForAll byte value, @ForAll @IntRange(max = 60) int length) {
        // A valid frame arrives with one byte changed or truncated.
        EmbeddedChannel channel = channel();
        byte[] bytes = helloBytes();
        bytes[position % bytes.length] = value;
        byte[] truncated = new byte[Math.min(bytes.length, length)];
        System.arraycopy(bytes, 0, truncated, 0, truncated.length);
        write(channel, truncated);
        write(channel, helloBytes());
        channel.checkException();
        channel.finishAndReleaseAll();
        assertThat(events).doesNotContain(EventCode.UNEXPECTED_FAILURE);
    }

    private static byte[] helloBytes() {
        byte[] body = Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(1)
                        .setInstance("remote")
                        .setIncarnation(5))
                .build()
                .toByteArray();
        byte[] framed = new byte[body.length + 4];
        framed[3] = (byte) body.length;
        System.arraycopy(body, 0, framed, 4, body.length);
        return framed;
    }

    private static void write(EmbeddedChannel channel, byte[] bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        }
        channel.runPendingTasks();
    }
}
