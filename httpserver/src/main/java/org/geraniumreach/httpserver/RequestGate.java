package org.geraniumreach.httpserver;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Lets each connection carry one request at a time: what arrives while a request is being answered is decoded after its answer.
 *
 * <p>Grizzly goes on with a connection on the thread that resumes a response, and decodes what it has received since. Were that another thread
 * than the one that reads the connection, both would decode the same request.
 *
 * <p>Invariants: a connection is read, decoded and resumed on its selector thread only, to which the state of a connection is confined; bytes
 * are passed on in the order in which they arrived. A connection is not read while its request is being answered, unless a {@link
 * CallerWatch} needs that to notice a close; no more is read once {@link #MAX_HELD_BYTES} are held. Requires listeners whose selector threads
 * process what they read. Safe for use by several threads.
 */
public final class RequestGate extends BaseFilter implements AddOn {

    /** The close of a caller that sends more ahead than this is noticed only when the answer has ended. */
    static final int MAX_HELD_BYTES = 65_536;

    private static final Attribute<Passage> PASSAGES =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(RequestGate.class.getName(), Passage::new);

    private final Consumer<Connection<?>> onReleased;
    private final Consumer<RuntimeException> onFailure;

    /**
     * The state of one connection: the bytes that are held; whether a request is being answered, and whether its body was received whole; and
     * whether its answer, or the one that has just ended, is the last one of the connection.
     */
    private static final class Passage {
        private final Deque<FilterChainContext> held = new ArrayDeque<>();
        private int heldBytes;
        private boolean answering;
        private boolean whole;
        private volatile boolean last;
        private boolean releasing;
    }

    /**
     * Creates a gate.
     *
     * @param onReleased called on the selector thread before bytes of a connection that were held are decoded, not null
     * @param onFailure receives the failure of a resumption, whose connection is closed, not null
     */
    public RequestGate(Consumer<Connection<?>> onReleased, Consumer<RuntimeException> onFailure) {
        this.onReleased = Objects.requireNonNull(onReleased, "onReleased");
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure");
    }

    /** Adds the filter before those that parse requests. */
    @Override
    public void setup(NetworkListener listener, FilterChainBuilder filters) {
        filters.add(filters.indexOfType(TransportFilter.class) + 1, this);
    }

    /**
     * Holds what arrives from now on, and stops reading. Called on the selector thread of the connection, when a request is taken up.
     *
     * @param request the request, not null
     * @param body its body, not null; the rest of one that is refused is decoded after the answer
     */
    public void onRequest(HttpRequestPacket request, RequestBody body) {
        Passage passage = PASSAGES.get(request.getConnection());
        passage.answering = true;
        passage.whole = body.fault().isEmpty();
        if (!request.getProcessingState().isKeepAlive()) {
            passage.last = true;
        }
        setReading(request.getConnection(), false);
    }

    /**
     * Queries whether what arrives belongs to no request. Called on the selector thread of the connection.
     *
     * @param connection the connection, not null
     * @return whether the last answer of the connection has ended
     */
    public boolean isBehindLastAnswer(Connection<?> connection) {
        Passage passage = PASSAGES.get(connection);
        return passage.last && !passage.answering;
    }

    /**
     * Drops what arrives behind the current request, whose answer is the last one of its connection.
     *
     * @param connection the connection, not null
     */
    public void onLastAnswer(Connection<?> connection) {
        PASSAGES.get(connection).last = true;
    }

    /**
     * Queries whether a request is being answered. Called on the selector thread of the connection.
     *
     * @param connection the connection, not null
     * @return whether bytes that arrive now are held
     */
    public boolean isHolding(Connection<?> connection) {
        Passage passage = PASSAGES.get(connection);
        return passage.answering || !passage.held.isEmpty();
    }

    /**
     * Resumes a response on the selector thread of its connection, and goes on with the next request after it.
     *
     * @param connection the connection, not null
     * @param resumption resumes the response, not null
     */
    public void resume(Connection<?> connection, Runnable resumption) {
        execute(connection, () -> {
            Passage passage = PASSAGES.get(connection);
            passage.answering = false;
            try {
                resumption.run();
                release(connection, passage);
                if (!passage.answering && connection.isOpen()) {
                    setReading(connection, true);
                }
            } catch (RuntimeException failure) {
                connection.terminateSilently();
                onFailure.accept(failure);
            }
        });
    }

    private static void setReading(Connection<?> connection, boolean reading) {
        try {
            if (reading) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException closed) {
            connection.closeSilently();
        }
    }

    private static void execute(Connection<?> connection, Runnable task) {
        SelectorRunner runner = ((NIOConnection) connection).getSelectorRunner();
        runner.getTransport()
                .getSelectorHandler()
                .execute(
                        runner,
                        () -> {
                            task.run();
                            return true;
                        },
                        new EmptyCompletionHandler<>());
    }

    private void release(Connection<?> connection, Passage passage) {
        if (passage.last && passage.whole) {
            passage.held.clear();
        }
        if (passage.releasing || passage.held.isEmpty() || passage.answering) {
            return;
        }
        passage.releasing = true;
        try {
            onReleased.accept(connection);
            while (!passage.answering && !passage.held.isEmpty() && connection.isOpen()) {
                FilterChainContext next = passage.held.remove();
                passage.heldBytes -= next.<Buffer>getMessage().remaining();
                next.resume(next.getInvokeAction());
            }
        } finally {
            passage.releasing = false;
        }
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        Passage passage = PASSAGES.get(connection);
        if (!isHolding(connection)) {
            return passage.last && passage.whole ? context.getStopAction() : context.getInvokeAction();
        }
        context.suspend();
        passage.held.add(context);
        passage.heldBytes += context.<Buffer>getMessage().remaining();
        setReading(connection, passage.heldBytes < MAX_HELD_BYTES);
        return context.getSuspendAction();
    }
}
