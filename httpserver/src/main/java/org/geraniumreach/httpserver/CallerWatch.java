package org.geraniumreach.httpserver;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;

/**
 * Runs an action when the caller's connection closes, until stopped.
 *
 * <p>A connection carries many calls one after another, so a watch that outlived its call would both leak and cancel
 * nothing that matters; stopping removes it. Safe for use by several threads.
 */
@SuppressWarnings("deprecation") // Grizzly bounds the listener's type by an interface that it deprecates itself.
public final class CallerWatch implements CloseListener<Closeable, CloseType> {

    private final Connection<?> connection;
    private final Runnable onClose;
    private final AtomicBoolean ended = new AtomicBoolean();

    private CallerWatch(Connection<?> connection, Runnable action) {
        this.connection = connection;
        this.onClose = action;
    }

    /**
     * Begins a watch.
     *
     * @param connection the caller's connection, not null
     * @param action what is run when it closes, not null
     * @return the watch, to be stopped when the call is answered, not null
     */
    public static CallerWatch start(Connection<?> connection, Runnable action) {
        CallerWatch watch = new CallerWatch(connection, action);
        connection.addCloseListener(watch);
        keepReading(connection);
        return watch;
    }

    private static void keepReading(Connection<?> connection) {
        try {
            // Grizzly stops reading from a connection while its call is answered later, so a caller's close would go
            // unseen until a write fails, and the work would go on for nobody. Reading on shows the close at once.
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException closed) {
            connection.closeSilently();
        }
    }

    @Override
    public void onClosed(Closeable closeable, CloseType type) {
        if (ended.compareAndSet(false, true)) {
            onClose.run();
        }
    }

    /** Ends the watch. */
    public void stop() {
        ended.set(true);
        connection.removeCloseListener(this);
    }
}
