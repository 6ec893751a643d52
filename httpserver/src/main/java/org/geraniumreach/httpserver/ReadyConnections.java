package org.geraniumreach.httpserver;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Iterator;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.model.MonotonicClock;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Selects the connections that are ready, and bounds how long they have been.
 *
 * <p>Invariants: what is ready in one selection was not when the selection before it started, so its bytes arrived after that start; all
 * connections that wait to be accepted are, before anything is read. Confined to the selector thread of one listener.
 */
final class ReadyConnections extends DefaultSelectorHandler {

    /** The longest time between the starts of two selections while nothing arrives; bytes may be taken for older by twice as much. */
    static final Duration RESOLUTION = Duration.ofMillis(20);

    /** Keeps connections that are opened faster than they are accepted from delaying all others without end. */
    private static final int MAX_ACCEPTED_AT_ONCE = 1_000;

    private final MonotonicClock clock;
    private long selectionStart;
    private long readySince;
    private long selections;
    private long accepted;

    ReadyConnections(MonotonicClock clock) {
        super(RESOLUTION.toMillis(), TimeUnit.MILLISECONDS);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.selectionStart = clock.nanos();
        this.readySince = selectionStart;
    }

    /** Gets the earliest time at which what is ready now can have become so, in nanoseconds of the clock. */
    long readySince() {
        return readySince;
    }

    /** Gets the number of selections so far. */
    long selections() {
        return selections;
    }

    void onAccepted() {
        accepted++;
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        readySince = selectionStart;
        selectionStart = clock.nanos();
        selections++;
        Set<SelectionKey> ready = super.select(runner);
        for (Iterator<SelectionKey> keys = ready.iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            // The operations of a key cannot be asked for here, since its channel may be closed by another thread at
            // any time.
            if (key.channel() instanceof ServerSocketChannel && acceptAll(runner, key)) {
                keys.remove();
            }
        }
        return ready;
    }

    /** Accepts all connections that wait; returns whether none is left, false if the library has to handle a failure. */
    private boolean acceptAll(SelectorRunner runner, SelectionKey key) {
        TCPNIOServerConnection server = (TCPNIOServerConnection)
                runner.getTransport().getSelectionKeyHandler().getConnectionForKey(key);
        try {
            for (int count = 0; count < MAX_ACCEPTED_AT_ONCE; count++) {
                long before = accepted;
                server.onAccept();
                if (accepted == before) {
                    return true;
                }
            }
            return false;
        } catch (IOException failed) {
            return false;
        }
    }
}
