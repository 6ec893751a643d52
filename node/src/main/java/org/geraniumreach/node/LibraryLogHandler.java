package org.geraniumreach.node;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;

/**
 * Writes the warnings of libraries that log through the Java platform to the log of this process.
 *
 * <p>Everything below a warning is left out. Safe for use by several threads.
 */
final class LibraryLogHandler extends Handler {

    private final DecisionLog log;

    private LibraryLogHandler(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Replaces the handlers of the Java platform, which write plain lines. */
    static void install(DecisionLog log) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord logged) {
        if (logged.getLevel().intValue() < Level.WARNING.intValue()) {
            return;
        }
        Throwable thrown = logged.getThrown();
        log.write(
                EventCode.LIBRARY_MESSAGE,
                "",
                Field.of("logger", String.valueOf(logged.getLoggerName())),
                Field.of("message", String.valueOf(logged.getMessage())),
                Field.of("thrown", thrown == null ? "" : thrown.toString()));
    }

    @Override
    public void flush() {
        // The log writes what has gathered by itself.
    }

    @Override
    public void close() {
        // The log belongs to the process.
    }
}
