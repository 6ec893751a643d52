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
 * Writes the warnings of libraries that use {@code java.util.logging} to the decision log of this process.
 *
 * <p>Records below {@link Level#WARNING} are dropped. Safe for use by several threads.
 */
final class LibraryLogHandler extends Handler {

    private final DecisionLog log;

    private LibraryLogHandler(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Replaces all handlers of {@code java.util.logging}, whose plain lines would mix with the JSON lines. */
    static void install(DecisionLog log) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (logRecord.getLevel().intValue() < Level.WARNING.intValue()) {
            return;
        }
        Throwable thrown = logRecord.getThrown();
        log.write(
                EventCode.LIBRARY_MESSAGE,
                "",
                Field.of("logger", String.valueOf(logRecord.getLoggerName())),
                Field.of("message", String.valueOf(logRecord.getMessage())),
                Field.of("thrown", thrown == null ? "" : thrown.toString()));
    }

    @Override
    public void flush() {
        // The decision log flushes itself.
    }

    @Override
    public void close() {
        // The decision log is closed by the process.
    }
}
