package org.geraniumreach.daemon.event;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.geraniumreach.model.EventCode;

/**
 * Brings what libraries log by the JDK's own logging into the log, as numbered events.
 *
 * <p>Otherwise Grizzly's lines would come to the standard error output in a form that no reader of the log expects. Safe for
 * use by several threads.
 */
final class LibraryMessages extends Handler {

    private LibraryMessages() {
        setLevel(Level.WARNING);
    }

    /** Takes the place of the JDK's own output. */
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
        // Each message is passed on at once.
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
