package org.geraniumreach.httpclient;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.geraniumreach.model.Header;

/**
 * One connection, which carries calls one after another.
 *
 * <p>Confined to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final int LONGEST_LINE = 8_192;
    private static final int LARGEST_HEADERS = 65_536;
    private static final int LARGEST_CHUNK = 65_536;
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final HttpConnections owner;
    private Channel channel;
    private InetSocketAddress address;
    private PendingCall call;
    private boolean keepsAlive;
    private boolean reset;
    private boolean informational;
    private long idleSince;
    private OptionalLong allowedIdleSeconds = OptionalLong.empty();

    private HttpConnection(HttpConnections owner) {
        this.owner = owner;
    }

    static void install(Channel channel, HttpConnections owner) {
        HttpConnection connection = new HttpConnection(owner);
        connection.channel = channel;
        channel.pipeline()
                .addLast(
                        connection.new IdleGuard(),
                        new HttpClientCodec(LONGEST_LINE, LARGEST_HEADERS, LARGEST_CHUNK),
                        connection);
    }

    /** Closes the connection at a byte that no call waits for; the codec would take it for the start of the next response. */
    private final class IdleGuard extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (call == null) {
                ReferenceCountUtil.release(bytes);
                channel.close();
                return;
            }
            context.fireChannelRead(bytes);
        }
    }

    static HttpConnection of(Channel channel) {
        return channel.pipeline().get(HttpConnection.class);
    }

    void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
    }

    InetSocketAddress address() {
        return address;
    }

    void setIdleSince(long nanos) {
        idleSince = nanos;
    }

    /** Leaves a second of what the other end allows, as a request that crosses its close could not be told from one that ran. */
    boolean isUsable(long now, Duration longestIdle) {
        long idleNanos = now - idleSince;
        boolean allowed = allowedIdleSeconds.isEmpty()
                || idleNanos
                        < Duration.ofSeconds(allowedIdleSeconds.getAsLong() - 1).toNanos();
        return channel.isActive() && allowed && idleNanos <= longestIdle.toNanos();
    }

    void close() {
        channel.close();
    }

    void begin(PendingCall next) {
        call = next;
        next.connecting(channel);
        HttpCallRequest request = next.request();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()));
        for (Header header : request.headers()) {
            message.headers().add(header.name(), header.value());
        }
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        if (request.body().length > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        channel.writeAndFlush(message);
    }

    private static boolean isBodiless(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            channel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            breakOff("not a response: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse) {
            head((HttpResponse) message);
        }
        if (message instanceof HttpContent) {
            content((HttpContent) message);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass().equals(HttpStatusClass.INFORMATIONAL)) {
            informational = true;
            return;
        }
        keepsAlive = HttpUtil.isKeepAlive(response) && isFramed(response);
        allowedIdleSeconds = allowedIdle(response);
        List<Header> headers = new ArrayList<>(response.headers().size());
        for (Map.Entry<String, String> header : response.headers()) {
            headers.add(new Header(header.getKey(), header.getValue()));
        }
        HttpResponseStatus status = response.status();
        call.head(new HttpResponseHead(status.code(), headers));
    }

    private static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private static OptionalLong allowedIdle(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        if (value == null) {
            return OptionalLong.empty();
        }
        for (String part : value.split(",")) {
            String parameter = part.trim();
            if (parameter.startsWith(TIMEOUT_PARAMETER)) {
                return seconds(parameter.substring(TIMEOUT_PARAMETER.length()));
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong seconds(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException unreadable) {
            // A limit that cannot be read is taken as the shortest, which keeps the connection from being used again.
            return OptionalLong.of(0);
        }
    }

    private void content(HttpContent content) {
        if (informational) {
            informational = !(content instanceof LastHttpContent);
            return;
        }
        if (content.content().isReadable()) {
            call.part(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent && call != null) {
            complete();
        }
    }

    private void complete() {
        if (reset) {
            breakOff("reset");
            return;
        }
        PendingCall ended = call;
        call = null;
        boolean cancelled = ended.isOver();
        if (!cancelled && keepsAlive && channel.isActive()) {
            owner.becameIdle(this);
        } else {
            channel.close();
        }
        ended.end();
    }

    private void breakOff(String reason) {
        PendingCall broken = call;
        call = null;
        channel.close();
        if (broken != null) {
            broken.fail(CallFailure.BROKEN, reason);
        }
    }

    /** A body that ends with its connection is cut by a reset, which the codec cannot tell from an orderly end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        breakOff(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (address != null) {
            owner.closed(this);
        }
        breakOff("closed before the response was complete");
    }
}
