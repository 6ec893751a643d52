package org.geraniumreach.daemon.event;

import org.geraniumreach.model.EventCode;
import org.tinylog.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Contract: every log line is written by this class and carries the number of an event. Callers must not pass keys,
 * credentials or prompts. Stateless and safe for use by several threads.
 */
public final class EventLog {

    private EventLog() {}

    /**
     * Writes an event.
     *
     * @param event the event, not null
     * @param detail the message, with {@code {}} for each argument, not null
     * @param arguments the arguments
     */
    public static void write(EventCode event, String detail, Object... arguments) {
        write(event, null, detail, arguments);
    }

    /**
     * Writes an event with the exception that caused it.
     *
     * @param event the event, not null
     * @param failure the exception, may be null
     * @param detail the message, with {@code {}} for each argument, not null
     * @param arguments the arguments
     */
    public static void write(EventCode event, Throwable failure, String detail, Object... arguments) {
        String line = "[" + event.number() + "] " + event.name() + " " + detail;
        switch (event.level()) {
            case DEBUG -> Logger.debug(failure, line, arguments);
            case INFO -> Logger.info(failure, line, arguments);
            case WARN -> Logger.warn(failure, line, arguments);
            case ERROR -> Logger.error(failure, line, arguments);
            default -> throw new IllegalStateException("unhandled level " + event.level());
        }
    }
}
