package org.geraniumreach.daemon.event;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.geraniumreach.model.EventCode;

/**
 * Forwards messages that libraries log through {@code java.util.logging} to the event log.
 *
 * <p>Otherwise Grizzly's messages would go to the standard error output in a format that log readers cannot parse. Safe
 * for use by several threads.
 */
final class LibraryMessages extends Handler {

    private LibraryMessages() {
        setLevel(Level.WARNING);
    }

    /** Replaces the default handlers of {@code java.util.logging}. */
    static void install() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryMessages());
    }

    @Override
    public void publish(LogRecord message) {
        if (isLoggable(message)) {
            EventLog.write(
                    EventCode.LIBRARY_MESSAGE,
                    message.getThrown(),
                    "{}: {}",
                    message.getLoggerName(),
                    message.getMessage());
        }
    }

    @Override
    public void flush() {
        // Messages are forwarded immediately.
    }

    @Override
    public void close() {
        // There are no resources to release.
    }
}
