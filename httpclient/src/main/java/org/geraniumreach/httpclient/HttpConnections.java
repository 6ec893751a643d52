package org.geraniumreach.httpclient;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.geraniumreach.model.MonotonicClock;

/**
 * Connections to any number of addresses, kept for further calls.
 *
 * <p>Invariants: a connection carries one call at a time; one that broke, that the other end is to close, or on which a byte
 * came that no call waited for, carries no other. Confined to its event loop.
 */
public final class HttpConnections {

    private final MonotonicClock clock;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<HttpConnection>> idleConnections = new HashMap<>();
    private long openedCount;

    /**
     * Makes a set without connections.
     *
     * @param loop the event loop that carries all of them, not null
     * @param clock tells for how long a connection has been idle, not null
     * @param connectLimit how long a connection may take to open, not null
     */
    public HttpConnections(EventLoop loop, MonotonicClock clock, Duration connectLimit) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bootstrap = new Bootstrap()
                .group(Objects.requireNonNull(loop, "loop"))
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectLimit.toMillis())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HttpConnection.install(channel, HttpConnections.this);
                    }
                });
    }

    /**
     * Sends a request.
     *
     * @param address where to, not null
     * @param request the request, not null
     * @param longestIdle a kept connection that was idle for longer is not used; zero for a new connection, not null
     * @param listener told of the response, not null
     * @return the call, not null
     */
    public HttpCall send(
            InetSocketAddress address, HttpCallRequest request, Duration longestIdle, HttpResponseListener listener) {
        PendingCall call = new PendingCall(request, listener);
        HttpConnection kept = takeIdle(address, longestIdle);
        if (kept != null) {
            kept.send(call);
            return call;
        }
        openedCount++;
        ChannelFuture connecting = bootstrap.connect(address);
        call.setChannel(connecting.channel());
        connecting.addListener(done -> {
            if (call.isEnded()) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                HttpConnection connection = HttpConnection.of(connecting.channel());
                connection.setAddress(address);
                connection.send(call);
            } else {
                call.fail(CallFailure.NOT_SENT, String.valueOf(done.cause().getMessage()));
            }
        });
        return call;
    }

    private HttpConnection takeIdle(InetSocketAddress address, Duration longestIdle) {
        Deque<HttpConnection> kept = idleConnections.get(address);
        if (kept == null || longestIdle.isZero()) {
            return null;
        }
        long now = clock.nanos();
        HttpConnection newest = kept.peekLast();
        if (newest == null || !newest.isUsable(now, longestIdle)) {
            return null;
        }
        return kept.pollLast();
    }

    void onIdle(HttpConnection connection) {
        connection.setIdleSinceNanos(clock.nanos());
        idleConnections
                .computeIfAbsent(connection.address(), missing -> new ArrayDeque<>())
                .addLast(connection);
    }

    void onClosed(HttpConnection connection) {
        Deque<HttpConnection> kept = idleConnections.get(connection.address());
        if (kept == null) {
            return;
        }
        kept.remove(connection);
        if (kept.isEmpty()) {
            idleConnections.remove(connection.address());
        }
    }

    /**
     * Closes the connections that have been idle for longer than a time.
     *
     * @param longestIdle the time, not null
     */
    public void closeIdle(Duration longestIdle) {
        long now = clock.nanos();
        for (Deque<HttpConnection> kept : idleConnections.values().stream().toList()) {
            for (HttpConnection connection : kept.stream().toList()) {
                if (!connection.isUsable(now, longestIdle)) {
                    connection.close();
                }
            }
        }
    }

    /**
     * Closes all idle connections to an address, which went silent or answers for another process now.
     *
     * @param address the address, not null
     */
    public void forget(InetSocketAddress address) {
        Deque<HttpConnection> kept = idleConnections.remove(address);
        if (kept != null) {
            kept.forEach(HttpConnection::close);
        }
    }

    /**
     * Gets how many connections were opened so far.
     *
     * @return the number
     */
    public long openedCount() {
        return openedCount;
    }
}
