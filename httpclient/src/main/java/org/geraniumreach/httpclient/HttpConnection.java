package org.geraniumreach.httpclient;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.Header;

/**
 * A connection that carries one call at a time.
 *
 * <p>Confined to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** More than a server sends before a response; an endless series of them would be read until the caller gives up. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 8;

    /** The longest body that is discarded so that its connection can be used again. */
    private static final int MAX_DISCARDED_BYTES = 65_536;

    /** More responses to earlier calls than a faulty server sends before the one to a call. */
    private static final int MAX_SURPLUS_RESPONSES = 4;

    private static final Duration MAX_DISCARD_TIME = Duration.ofMillis(500);
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final HttpConnections connections;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final EarlierCalls earlierCalls;
    private Channel channel;
    private InetSocketAddress address;
    private long number;
    private int calls;
    private PendingCall call;
    private PendingCall completedCall;
    private ResponseMatching lastMatching = ResponseMatching.BY_LISTENER;
    private ChannelFuture written;
    private boolean keepAlive;
    private boolean inputEnded;
    private boolean inputClosed;
    private boolean delimitedByClose;
    private boolean reset;
    private boolean informational;
    private int informationalResponses;
    private int surplusResponses;
    private boolean skipping;
    private int discardedBytes;
    private Future<?> discardTimeout;
    private long idleSinceNanos;
    private OptionalLong keepAliveTimeoutSeconds = OptionalLong.empty();

    private HttpConnection(HttpConnections owner) {
        this.connections = owner;
        this.earlierCalls = new EarlierCalls(owner.clock());
    }

    static void install(Channel channel, HttpConnections owner) {
        HttpConnection connection = new HttpConnection(owner);
        connection.channel = channel;
        channel.pipeline()
                .addLast(connection.new InputHandler(), connection.decoder, new HttpRequestEncoder(), connection);
    }

    /**
     * Closes the connection on bytes that no call is waiting for, once the head of a response has been read from them if they hold one. Tells
     * an end that the server has sent from a close by this process, which the codec both takes for the end of a body without a length.
     */
    private final class InputHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                inputEnded = true;
                inputClosed = true;
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            inputClosed = true;
            context.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            boolean unexpected = call == null;
            context.fireChannelRead(bytes);
            if (unexpected) {
                closeAfterSurplus();
            }
        }
    }

    /**
     * Decodes responses, and shows whether bytes are left of which no message has been decoded. What has no status of HTTP is no
     * response: neither an answer nor an interim one.
     */
    private final class ResponseDecoder extends HttpResponseDecoder {

        private ResponseDecoder() {
            super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            // The codec would accept any number that is not negative.
            ResponseStatus.findFault(initialLine[1]).ifPresent(fault -> {
                throw new IllegalArgumentException(fault);
            });
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage response) {
            boolean toHead = call != null && call.request().method().equals(HttpMethod.HEAD.name());
            return toHead && !isInformational(response) || super.isContentAlwaysEmpty(response);
        }

        private boolean hasRemainingBytes() {
            return actualReadableBytes() > 0;
        }
    }

    private static boolean isInformational(HttpMessage response) {
        return response instanceof HttpResponse answer
                && answer.status().codeClass().equals(HttpStatusClass.INFORMATIONAL);
    }

    static HttpConnection of(Channel channel) {
        return channel.pipeline().get(HttpConnection.class);
    }

    /** Called once the connection is open, before its first call. */
    void open(InetSocketAddress serverAddress, long connectionNumber) {
        address = serverAddress;
        number = connectionNumber;
    }

    InetSocketAddress address() {
        return address;
    }

    void setIdleSinceNanos(long nanos) {
        idleSinceNanos = nanos;
    }

    /**
     * Stops reuse one second before the server's keep-alive timeout. If the server closed the connection while a request was being
     * sent, it would be unknown whether the request had run.
     */
    boolean isUsable(long nowNanos, Duration maxIdleTime) {
        long idleNanos = nowNanos - idleSinceNanos;
        boolean withinTimeout = keepAliveTimeoutSeconds.isEmpty()
                || idleNanos
                        < Duration.ofSeconds(keepAliveTimeoutSeconds.getAsLong() - 1)
                                .toNanos();
        return channel.isActive() && withinTimeout && idleNanos <= maxIdleTime.toNanos();
    }

    /** Queries whether a surplus response to the last call would show as such to the listener of the next one. */
    boolean wasMatchedByListener() {
        return lastMatching == ResponseMatching.BY_LISTENER;
    }

    /** Queries whether the response to an earlier call of the same id was discarded. */
    boolean hasDiscardedResponseTo(ConnectionReuse reuse) {
        return reuse.callId().filter(earlierCalls::hasDiscarded).isPresent();
    }

    void close() {
        channel.close();
    }

    /** Sends a call, unless its listener does not permit it; then the connection is closed. */
    void send(PendingCall newCall) {
        newCall.setChannel(channel);
        if (!newCall.startSending(new ConnectionUse(number, calls))) {
            channel.close();
            return;
        }
        call = newCall;
        calls++;
        lastMatching = newCall.reuse().matching();
        informationalResponses = 0;
        surplusResponses = 0;
        discardedBytes = 0;
        HttpCallRequest request = newCall.request();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach(header -> message.headers().add(header.name(), header.value()));
        request.headersAtWrite().get().forEach(header -> message.headers().add(header.name(), header.value()));
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        if (request.body().length > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        written = channel.writeAndFlush(message);
        written.addListener(done -> {
            if (!done.isSuccess()) {
                onWriteFailed();
            }
        });
    }

    /** Reads what the server has sent before it stopped reading: that may be a whole answer. */
    private void onWriteFailed() {
        if (channel.isOpen()) {
            channel.eventLoop().schedule(this::close, MAX_DISCARD_TIME.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private static boolean isBodiless(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            onUnexpected(message);
            return;
        }
        if (message.decoderResult().isFailure()) {
            failCall("not a response: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse) {
            onHead((HttpResponse) message);
        }
        if (message instanceof HttpContent) {
            onContent((HttpContent) message);
        }
    }

    private void onUnexpected(HttpObject message) {
        boolean isOpen = address != null;
        if (isOpen
                && message instanceof HttpResponse response
                && response.decoderResult().isSuccess()) {
            reportSurplus(toHead(response));
        }
        closeAfterSurplus();
    }

    private void reportSurplus(HttpResponseHead head) {
        connections.reportSurplusResponse(
                new SurplusResponseListener.SurplusResponse(address, number, head, earlierCalls::find));
    }

    private void onHead(HttpResponse response) {
        if (isInformational(response)) {
            informational = true;
            informationalResponses++;
            if (informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
                failCall("more than " + MAX_INFORMATIONAL_RESPONSES + " informational responses");
            }
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response) && isFramed(response);
        keepAliveTimeoutSeconds = keepAliveTimeoutSeconds(response);
        HttpResponseHead head = toHead(response);
        Optional<HeadDecision.AnotherCall> other = call.onHead(head);
        if (other.isPresent()) {
            onResponseToAnotherCall(head, other.get());
            return;
        }
        if (call.isRejected()) {
            connections.onSurplusResponse(address);
        }
        if (call.isEnded() && !call.isCancelled()) {
            call.reuse().callId().ifPresent(id -> earlierCalls.add(id, true));
            discardTimeout =
                    channel.eventLoop().schedule(this::close, MAX_DISCARD_TIME.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private static HttpResponseHead toHead(HttpResponse response) {
        List<Header> headers = new ArrayList<>(response.headers().size());
        for (Map.Entry<String, String> header : response.headers()) {
            headers.add(new Header(header.getKey(), header.getValue()));
        }
        return new HttpResponseHead(response.status().code(), headers);
    }

    /** Discards a repeated response to an earlier call, behind which the one to the waiting call may come; fails the call otherwise. */
    private void onResponseToAnotherCall(HttpResponseHead head, HeadDecision.AnotherCall other) {
        connections.onSurplusResponse(address);
        reportSurplus(head);
        Optional<EarlierCall> earlier = earlierCalls.find(other.callId());
        if (earlier.isEmpty() || !keepAlive || surplusResponses >= MAX_SURPLUS_RESPONSES) {
            call.reject(other.reason() + describeAge(earlier));
            return;
        }
        surplusResponses++;
        skipping = true;
        discardTimeout = channel.eventLoop()
                .schedule(
                        () -> call.reject("a response to another call is not complete"),
                        MAX_DISCARD_TIME.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private static String describeAge(Optional<EarlierCall> earlier) {
        return earlier.map(call -> ", answered on this connection " + call.age().toMillis() + " ms before")
                .orElse(", not known on this connection");
    }

    /** Discards a part of a response to another call. */
    private void skip(HttpContent content) {
        discardedBytes += content.content().readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            call.reject("a response to another call is too long");
        } else if (content instanceof LastHttpContent) {
            skipping = false;
            cancelDiscardTimeout();
        }
    }

    private static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private static OptionalLong keepAliveTimeoutSeconds(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        if (value == null) {
            return OptionalLong.empty();
        }
        for (String part : value.split(",")) {
            String parameter = part.trim();
            if (parameter.startsWith(TIMEOUT_PARAMETER)) {
                return parseSeconds(parameter.substring(TIMEOUT_PARAMETER.length()));
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseSeconds(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException unreadable) {
            // An unreadable timeout counts as zero, which prevents reuse of the connection.
            return OptionalLong.of(0);
        }
    }

    private void onContent(HttpContent content) {
        if (informational) {
            informational = !(content instanceof LastHttpContent);
            return;
        }
        if (skipping) {
            skip(content);
            return;
        }
        if (call.isEnded()) {
            discard(content.content().readableBytes());
        } else if (content.content().isReadable()) {
            call.onPart(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent && call != null) {
            delimitedByClose = inputClosed;
            completedCall = call;
            call = null;
        }
    }

    private void closeAfterSurplus() {
        if (address != null) {
            connections.onSurplusResponse(address);
        }
        channel.close();
    }

    /** Closes the connection of a call that has ended before its response, unless the rest of the response is short. */
    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            channel.close();
        }
    }

    /** Ends a completed call after all bytes that were read with its last ones, so that no other call gets surplus ones. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (completedCall != null) {
            complete();
        }
        context.fireChannelReadComplete();
    }

    private void complete() {
        if (delimitedByClose && inputEnded && !written.isDone()) {
            awaitWritten();
            return;
        }
        PendingCall ended = completedCall;
        completedCall = null;
        cancelDiscardTimeout();
        if (reset || isCutOff()) {
            channel.close();
            ended.fail(CallFailure.BROKEN, reset ? "reset" : "closed within a body without a length");
            return;
        }
        // A server that has answered early may never read the rest of the body, nor a call sent after it.
        boolean reusable = !ended.isCancelled()
                && keepAlive
                && written.isSuccess()
                && surplusResponses == 0
                && earlierCalls.mayCarryMore();
        ended.reuse()
                .callId()
                .filter(id -> !earlierCalls.hasDiscarded(id))
                .ifPresent(id -> earlierCalls.add(id, false));
        if (reusable && !decoder.hasRemainingBytes() && channel.isActive()) {
            connections.onIdle(this, ended.reuse().maxIdleConnections());
        } else {
            channel.close();
        }
        ended.complete();
    }

    /** Queries whether a body that ends with its connection was ended by this process, or by a reset that a write has met. */
    private boolean isCutOff() {
        return delimitedByClose && !(inputEnded && written.isSuccess());
    }

    /** Waits until the rest of the request is written: a server that resets the connection over it may not have sent its body whole. */
    private void awaitWritten() {
        if (discardTimeout == null) {
            discardTimeout =
                    channel.eventLoop().schedule(this::close, MAX_DISCARD_TIME.toMillis(), TimeUnit.MILLISECONDS);
            written.addListener(done -> {
                if (completedCall != null) {
                    complete();
                }
            });
        }
    }

    private void cancelDiscardTimeout() {
        if (discardTimeout != null) {
            discardTimeout.cancel(false);
            discardTimeout = null;
        }
    }

    private void failCall(String reason) {
        cancelDiscardTimeout();
        PendingCall failed = call;
        call = null;
        skipping = false;
        channel.close();
        if (failed != null) {
            failed.fail(CallFailure.BROKEN, reason);
        }
    }

    /** Marks a reset: a body delimited by the close of its connection was cut off, which the codec reports as an orderly end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        failCall(String.valueOf(cause.getMessage()));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && completedCall == null) {
            channel.close();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (completedCall != null) {
            complete();
        }
        if (address != null) {
            connections.onClosed(this);
        }
        failCall("closed before the response was complete");
    }
}
