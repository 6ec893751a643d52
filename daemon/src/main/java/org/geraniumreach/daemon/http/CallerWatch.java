package org.geraniumreach.daemon.http;

import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;

/**
 * Runs an action when the caller's connection closes, until stopped.
 *
 * <p>A connection carries many calls one after another, so a watch that outlived its call would both leak and cancel
 * nothing that matters; stopping removes it. Safe for use by several threads.
 */
@SuppressWarnings("deprecation") // Grizzly bounds the listener's type by an interface that it deprecates itself.
final class CallerWatch implements CloseListener<Closeable, CloseType> {

    private final Connection<?> connection;
    private final Runnable action;
    private final AtomicBoolean done = new AtomicBoolean();

    CallerWatch(Connection<?> connection, Runnable action) {
        this.connection = connection;
        this.action = action;
    }

    @Override
    public void onClosed(Closeable closeable, CloseType type) {
        if (done.compareAndSet(false, true)) {
            action.run();
        }
    }

    void stop() {
        done.set(true);
        connection.removeCloseListener(this);
    }
}
