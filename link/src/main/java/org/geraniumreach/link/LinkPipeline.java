package org.geraniumreach.link;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.geraniumreach.messages.Frame;

/**
 * Configures the channel pipeline of a connection.
 *
 * <p>A frame's length is checked before its content is buffered, so a peer cannot make the process buffer more than the
 * maximum frame length. Stateless and safe for use by several threads.
 */
final class LinkPipeline {

    private static final int LENGTH_BYTES = 4;

    private LinkPipeline() {}

    static void configure(ChannelPipeline pipeline, LinkSettings settings, LinkChannel link) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(settings.maximumFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(link);
    }
}
