package org.geraniumreach.httpserver;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.geraniumreach.model.MonotonicClock;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The open connections of a listener that is served by one selector thread.
 *
 * <p>Invariants: idle connections are closed on the selector thread, which also reads the requests, so no request is read from a
 * connection between the check that it is idle and its close; the end of each connection is reported once, with its cause. What follows
 * a refused request is discarded for a limited time. Safe for
 * use by several threads.
 */
public final class OpenConnections extends BaseFilter implements AddOn, AutoCloseable {

    /** A caller that pauses for longer within a request does not delay a drain. */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofMillis(500);

    /**
     * How long the rest of a refused request is read, since a caller may lose the refusal if its connection is closed while it is
     * still sending.
     */
    private static final Duration MAX_REFUSED_READ_TIME = Duration.ofSeconds(1);

    private final Map<Connection<?>, ReceivedBytes> connections = new ConcurrentHashMap<>();
    private final BooleanSupplier accepts;
    private final Consumer<ConnectionEnd> onClosed;
    private final MonotonicClock clock = MonotonicClock.system();
    private final ReadyConnections ready = new ReadyConnections(clock);
    private final CloseProbe closeProbe;
    private final RequestGate gate;
    private volatile Optional<SelectorRunner> selectorThread = Optional.empty();

    /**
     * Creates an instance without connections.
     *
     * @param accepts decides on each new connection, called on the selector thread; one that is not accepted is closed unread, not null
     * @param onClosed receives the end of each connection, called on any thread, not null
     * @param onFailure receives the failure of a resumed response, called on the selector thread, not null
     * @throws IOException if the operating system has no descriptors left
     */
    public OpenConnections(
            BooleanSupplier accepts, Consumer<ConnectionEnd> onClosed, Consumer<RuntimeException> onFailure)
            throws IOException {
        this.closeProbe = new CloseProbe();
        this.gate = new RequestGate(this::onReleased, onFailure);
        this.accepts = Objects.requireNonNull(accepts, "accepts");
        this.onClosed = Objects.requireNonNull(onClosed, "onClosed");
    }

    /** Adds the filter before those that parse requests, so that it sees all bytes that are received. */
    @Override
    public void setup(NetworkListener listener, FilterChainBuilder filters) {
        gate.setup(listener, filters);
        filters.add(filters.indexOfType(TransportFilter.class) + 1, this);
        listener.getTransport().setSelectorHandler(ready);
    }

    @Override
    @SuppressWarnings("deprecation") // Grizzly itself requires the deprecated interface as a type bound.
    public NextAction handleAccept(FilterChainContext context) throws IOException {
        NIOConnection connection = (NIOConnection) context.getConnection();
        ready.onAccepted();
        ReceivedBytes received = new ReceivedBytes(clock, ready.readySince(), ready.selections());
        connections.put(connection, received);
        connection.addCloseListener((CloseListener<Closeable, CloseType>) (closed, type) -> onClosed(connection, type));
        if (!accepts.getAsBoolean()) {
            received.setCause(CloseCause.NOT_ACCEPTED);
            connection.closeSilently();
            return context.getStopAction();
        }
        selectorThread = Optional.of(connection.getSelectorRunner());
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer bytes = context.getMessage();
        Connection<?> connection = context.getConnection();
        Optional<ReceivedBytes> known = find(connection);
        if (gate.isHolding(connection)) {
            known.ifPresent(received -> received.onBytesAhead(bytes.remaining(), ready.readySince()));
            return context.getInvokeAction();
        }
        known.ifPresent(received -> received.onBytes(bytes.remaining(), ready.readySince(), ready.selections()));
        if (known.filter(received -> received.isRefusedFor(MAX_REFUSED_READ_TIME))
                .isPresent()) {
            terminate(connection, CloseCause.ANSWER);
            return context.getStopAction();
        }
        return context.getInvokeAction();
    }

    private Optional<ReceivedBytes> find(Connection<?> connection) {
        return Optional.ofNullable(connections.get(connection));
    }

    private void onClosed(Connection<?> connection, CloseType type) {
        ReceivedBytes received = connections.remove(connection);
        if (received != null) {
            onClosed.accept(received.end(connection, type));
        }
    }

    /**
     * Gets the earliest time at which the request that is being read can have begun to arrive. It may have waited since, in the queue of
     * new connections or unread.
     *
     * @param connection the connection, not null
     * @return the time in nanoseconds of the system's monotonic clock, now if the connection has been closed
     */
    public long arrivedAt(Connection<?> connection) {
        return find(connection).map(ReceivedBytes::arrivedAt).orElseGet(clock::nanos);
    }

    /**
     * Gets the time at which the request that is being read had been received so far.
     *
     * @param connection the connection, not null
     * @return the time in nanoseconds of the system's monotonic clock, now if the connection has been closed
     */
    public long readAt(Connection<?> connection) {
        return find(connection).map(ReceivedBytes::lastAt).orElseGet(clock::nanos);
    }

    private void onReleased(Connection<?> connection) {
        find(connection).ifPresent(ReceivedBytes::onReleased);
    }

    /**
     * Gets the gate that lets each connection carry one request at a time.
     *
     * @return the gate, not null
     */
    public RequestGate gate() {
        return gate;
    }

    /**
     * Queries whether the caller has closed its end of a connection, also if that has not been read yet. A close behind bytes that have not
     * been read does not show.
     *
     * @param connection the connection, not null
     * @return whether the connection has ended
     */
    public boolean isClosedByCaller(Connection<?> connection) {
        return closeProbe.isClosed((SocketChannel) ((NIOConnection) connection).getChannel());
    }

    /**
     * Records that all that has been received belongs to requests that were read.
     *
     * @param connection the connection, not null
     */
    public void onRequestRead(Connection<?> connection) {
        find(connection).ifPresent(ReceivedBytes::onRequestRead);
    }

    /**
     * Records that a request was refused, perhaps before all of it had been received; what follows belongs to no further request.
     *
     * @param connection the connection, which is closed after the refusal, not null
     */
    public void onRequestRefused(Connection<?> connection) {
        find(connection).ifPresent(ReceivedBytes::onRequestRefused);
    }

    /**
     * Records why a connection is about to be closed; the first cause counts.
     *
     * @param connection the connection, not null
     * @param cause the cause, not null
     */
    public void setCause(Connection<?> connection, CloseCause cause) {
        find(connection).ifPresent(received -> received.setCause(cause));
    }

    /**
     * Closes a connection at once, discarding what has not been sent.
     *
     * @param connection the connection, not null
     * @param cause the cause, not null
     */
    public void terminate(Connection<?> connection, CloseCause cause) {
        setCause(connection, cause);
        connection.terminateSilently();
    }

    /** Closes all connections at once, because the process exits; their ends have been reported when this returns. */
    public void terminateAll() {
        connections.forEach((connection, received) -> {
            received.setCause(CloseCause.EXIT);
            onClosed(connection, CloseType.LOCALLY);
            connection.terminateSilently();
        });
    }

    /**
     * Closes the connections that are idle, after everything written to them has been sent.
     *
     * <p>A connection on which a request has begun to arrive is not idle, also if none of it has been read.
     *
     * @param idle whether no request of a connection is being read or answered, called on the selector thread, not null
     * @return completed on the selector thread with the number of connections that are still open, not null
     */
    public CompletableFuture<Integer> closeIdle(Predicate<Connection<?>> idle) {
        CompletableFuture<Integer> remaining = new CompletableFuture<>();
        if (selectorThread.isEmpty()) {
            remaining.complete(0);
            return remaining;
        }
        SelectorRunner runner = selectorThread.get();
        SelectorHandler selectorHandler = runner.getTransport().getSelectorHandler();
        selectorHandler.execute(
                runner,
                () -> {
                    connections.forEach((connection, received) -> closeIfIdle(connection, received, idle));
                    remaining.complete(connections.size());
                    return true;
                },
                new EmptyCompletionHandler<>() {
                    @Override
                    public void failed(Throwable failure) {
                        remaining.completeExceptionally(failure);
                    }
                });
        return remaining;
    }

    private static void closeIfIdle(Connection<?> connection, ReceivedBytes received, Predicate<Connection<?>> idle) {
        if (idle.test(connection) && !received.isReceivingWithin(RECEIVE_TIMEOUT) && !hasUnreadBytes(connection)) {
            received.setCause(CloseCause.DRAIN);
            connection.closeSilently();
        }
    }

    /** Releases what is held beside the connections, which stay open. */
    @Override
    public void close() throws IOException {
        closeProbe.close();
    }

    private static boolean hasUnreadBytes(Connection<?> connection) {
        try {
            SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
            return channel.socket().getInputStream().available() > 0;
        } catch (IOException closed) {
            return false;
        }
    }
}
