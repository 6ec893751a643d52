package org.geraniumreach.httpclient;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.geraniumreach.model.MonotonicClock;

/**
 * A pool of connections to any number of addresses.
 *
 * <p>Invariants: a connection carries one call at a time. A connection is not reused if it failed, if the server is about to close
 * it, if it received bytes while no call was waiting for a response, if it received a response to another call than the one that was
 * waiting, if the response to its last call could be taken for that to the next one, or if it carried a call of the same id whose
 * response was discarded, since a copy of that may follow. No more connections to an address are idle than its last call allows.
 * Confined to its event loop.
 */
public final class HttpConnections {

    /** A server that has sent a surplus response may send more of them for so long. */
    private static final Duration SURPLUS_MEMORY = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private final SurplusResponseListener surplusListener;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, IdleConnections> idleConnections = new HashMap<>();
    private final Map<InetSocketAddress, Long> surplusResponseAt = new HashMap<>();
    private long openedCount;
    private long excessCount;

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop on which all connections run, not null
     * @param clock measures how long a connection has been idle, not null
     * @param connectTimeout the limit for opening a connection, not null
     */
    public HttpConnections(EventLoop loop, MonotonicClock clock, Duration connectTimeout) {
        this(loop, clock, connectTimeout, response -> {});
    }

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop on which all connections run, not null
     * @param clock measures how long a connection has been idle, not null
     * @param connectTimeout the limit for opening a connection, not null
     * @param surplusListener receives surplus responses, not null
     */
    public HttpConnections(
            EventLoop loop, MonotonicClock clock, Duration connectTimeout, SurplusResponseListener surplusListener) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.surplusListener = Objects.requireNonNull(surplusListener, "surplusListener");
        this.bootstrap = new Bootstrap()
                .group(Objects.requireNonNull(loop, "loop"))
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.AUTO_CLOSE, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
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
     * @param address the server's address, not null
     * @param request the request, not null
     * @param reuse how the call reuses connections, not null
     * @param listener receives the response, not null
     * @return cancels the call, not null
     */
    public HttpCall send(
            InetSocketAddress address, HttpCallRequest request, ConnectionReuse reuse, HttpResponseListener listener) {
        PendingCall call = new PendingCall(request, reuse, listener);
        boolean matchedOnly = reuse.matching() == ResponseMatching.NONE && hasSentSurplus(address);
        Predicate<HttpConnection> suited = connection ->
                (!matchedOnly || connection.wasMatchedByListener()) && !connection.hasDiscardedResponseTo(reuse);
        Optional<HttpConnection> reused = Optional.ofNullable(idleConnections.get(address))
                .filter(idle -> reuse.isAllowed())
                .flatMap(idle -> idle.takeUsable(clock.nanos(), reuse.maxIdleTime(), suited));
        if (reused.isPresent()) {
            reused.get().send(call);
            return call;
        }
        openedCount++;
        long number = openedCount;
        ChannelFuture connectFuture = bootstrap.connect(address);
        call.setChannel(connectFuture.channel());
        connectFuture.addListener(future -> {
            if (call.isEnded()) {
                connectFuture.channel().close();
            } else if (future.isSuccess()) {
                HttpConnection connection = HttpConnection.of(connectFuture.channel());
                connection.open(address, number);
                connection.send(call);
            } else {
                call.fail(CallFailure.NOT_SENT, String.valueOf(future.cause().getMessage()));
            }
        });
        return call;
    }

    /**
     * Checks whether nobody listens at an address, by opening a connection and closing it at once.
     *
     * @param address the address, not null
     * @param onResult receives true if the connection was refused, false if it was opened or nothing is known, not null
     */
    public void checkRefused(InetSocketAddress address, Consumer<Boolean> onResult) {
        openedCount++;
        ChannelFuture connectFuture = bootstrap.connect(address);
        connectFuture.addListener(future -> {
            connectFuture.channel().close();
            // Netty throws a subclass for a refused connection, and another class when the time is over.
            onResult.accept(
                    future.cause() instanceof ConnectException && !(future.cause() instanceof ConnectTimeoutException));
        });
    }

    private boolean hasSentSurplus(InetSocketAddress address) {
        Long at = surplusResponseAt.get(address);
        return at != null && clock.nanos() - at < SURPLUS_MEMORY.toNanos();
    }

    MonotonicClock clock() {
        return clock;
    }

    /** Reports the head of a surplus response, which is recorded besides. */
    void reportSurplusResponse(SurplusResponseListener.SurplusResponse response) {
        surplusListener.onSurplusResponse(response);
    }

    /** Records that a server has sent a surplus response. */
    void onSurplusResponse(InetSocketAddress address) {
        long now = clock.nanos();
        surplusResponseAt.values().removeIf(at -> now - at >= SURPLUS_MEMORY.toNanos());
        surplusResponseAt.put(address, now);
    }

    void onIdle(HttpConnection connection, IntSupplier maxIdleConnections) {
        connection.setIdleSinceNanos(clock.nanos());
        IdleConnections idle = idleConnections.computeIfAbsent(connection.address(), unused -> new IdleConnections());
        idle.add(connection, maxIdleConnections);
        excessCount += idle.closeExcess();
    }

    void onClosed(HttpConnection connection) {
        IdleConnections idle = idleConnections.get(connection.address());
        if (idle == null) {
            return;
        }
        idle.remove(connection);
        if (idle.size() == 0) {
            idleConnections.remove(connection.address());
        }
    }

    /**
     * Closes the connections that have been idle for longer than the given time, and those beyond the number that may be kept.
     *
     * @param maxIdleTime the longest idle time to allow, not null
     */
    public void closeIdleLongerThan(Duration maxIdleTime) {
        long now = clock.nanos();
        for (IdleConnections idle : idleConnections.values()) {
            idle.closeUnusable(now, maxIdleTime);
            excessCount += idle.closeExcess();
        }
    }

    /**
     * Closes all idle connections to an address whose server stopped responding or was replaced by another process.
     *
     * @param address the address, not null
     */
    public void closeIdleTo(InetSocketAddress address) {
        Optional.ofNullable(idleConnections.remove(address)).ifPresent(IdleConnections::closeAll);
    }

    /**
     * Gets the number of connections opened since the creation of the pool.
     *
     * @return the number
     */
    public long openedCount() {
        return openedCount;
    }

    /**
     * Gets the number of idle connections closed since the creation of the pool because more than allowed were idle.
     *
     * @return the number
     */
    public long excessCount() {
        return excessCount;
    }

    /**
     * Gets the number of idle connections.
     *
     * @return the number
     */
    public int idleCount() {
        return idleConnections.values().stream().mapToInt(IdleConnections::size).sum();
    }
}
