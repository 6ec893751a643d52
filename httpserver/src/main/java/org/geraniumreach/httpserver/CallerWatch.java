package org.geraniumreach.httpserver;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;

/**
 * Runs an action when the caller's connection closes, unless stopped before.
 *
 * <p>A connection carries many calls one after another, so each watch must be stopped at the end of its call; otherwise it would
 * leak, and run its action after the call has ended. Safe for use by several threads.
 */
@SuppressWarnings("deprecation") // Grizzly itself requires the deprecated interface as a type bound.
public final class CallerWatch implements CloseListener<Closeable, CloseType> {

    private final Connection<?> connection;
    private final Runnable onClose;
    private final AtomicBoolean ended = new AtomicBoolean();

    private CallerWatch(Connection<?> connection, Runnable onClose) {
        this.connection = connection;
        this.onClose = onClose;
    }

    /**
     * Begins to watch a connection.
     *
     * @param connection the caller's connection, not null
     * @param onClose the action to run when it closes, not null
     * @return the watch, which must be stopped when the call has been answered, not null
     */
    public static CallerWatch start(Connection<?> connection, Runnable onClose) {
        CallerWatch watch = new CallerWatch(connection, onClose);
        connection.addCloseListener(watch);
        keepReading(connection);
        return watch;
    }

    private static void keepReading(Connection<?> connection) {
        try {
            // Grizzly does not read from a connection while its response is suspended, so that a close by the caller
            // would go unnoticed until a write fails. Reading detects it at once, so that the work can be cancelled.
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

    /** Stops the watch. */
    public void stop() {
        ended.set(true);
        connection.removeCloseListener(this);
    }
}
