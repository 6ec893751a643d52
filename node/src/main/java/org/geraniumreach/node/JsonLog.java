package org.geraniumreach.node;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongSupplier;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.model.EventCode;

/**
 * Writes the decision log as JSON, one object per line.
 *
 * <p>Invariants: callers never block on the output; lines beyond {@link #MAX_PENDING_LINES} are dropped, and their number is logged.
 * A dedicated thread writes the pending lines in batches, so that logging costs callers no system call. Safe for use by several threads.
 */
final class JsonLog implements DecisionLog, AutoCloseable {

    /** Four seconds of lines of an entry at peak load, about 2 MB. */
    static final int MAX_PENDING_LINES = 8_192;

    /** Lines are collected for this long and written in one batch. */
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final OutputStream output;
    private final LongSupplier wallClockMillis;
    private final Deque<String> pendingLines = new ArrayDeque<>();
    private final Thread writer = new Thread(this::runWriter, "log");
    private long droppedSinceFlush;
    private long totalDropped;
    private boolean closed;

    private JsonLog(OutputStream output, LongSupplier wallClockMillis) {
        this.output = Objects.requireNonNull(output, "output");
        this.wallClockMillis = Objects.requireNonNull(wallClockMillis, "wallClockMillis");
        writer.setDaemon(true);
    }

    static JsonLog start(OutputStream output, LongSupplier wallClockMillis) {
        JsonLog log = new JsonLog(output, wallClockMillis);
        log.writer.start();
        return log;
    }

    static JsonLog toStandardOutput() {
        PrintStream output = System.out;
        return start(output, System::currentTimeMillis);
    }

    @Override
    public void write(EventCode event, String subject, Field... fields) {
        String line = formatLine(event, subject, fields);
        synchronized (pendingLines) {
            if (pendingLines.size() >= MAX_PENDING_LINES) {
                droppedSinceFlush++;
                totalDropped++;
                return;
            }
            pendingLines.add(line);
        }
    }

    private String formatLine(EventCode event, String subject, Field... fields) {
        StringBuilder line = new StringBuilder(192);
        line.append("{\"time\":").append(wallClockMillis.getAsLong());
        line.append(",\"event\":").append(event.number());
        line.append(",\"name\":\"").append(event.name()).append('"');
        if (!subject.isEmpty()) {
            line.append(",\"id\":");
            appendQuoted(line, subject);
        }
        for (Field field : fields) {
            line.append(",\"").append(field.name()).append("\":");
            appendValue(line, field.value());
        }
        return line.append("}\n").toString();
    }

    private static void appendValue(StringBuilder line, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
        } else {
            appendQuoted(line, String.valueOf(value));
        }
    }

    private static void appendQuoted(StringBuilder line, String text) {
        line.append('"');
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"' || character == '\\') {
                line.append('\\').append(character);
            } else if (character < ' ') {
                line.append(String.format("\\u%04x", (int) character));
            } else {
                line.append(character);
            }
        }
        line.append('"');
    }

    private void runWriter() {
        try {
            while (!isClosed()) {
                Thread.sleep(FLUSH_INTERVAL_MILLIS);
                flush();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            flush();
        }
    }

    private boolean isClosed() {
        synchronized (pendingLines) {
            return closed;
        }
    }

    private void flush() {
        StringBuilder batch = new StringBuilder();
        synchronized (pendingLines) {
            pendingLines.forEach(batch::append);
            pendingLines.clear();
            if (droppedSinceFlush > 0) {
                batch.append(formatLine(EventCode.LOG_LINES_DROPPED, "", Field.of("lines", droppedSinceFlush)));
                droppedSinceFlush = 0;
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        try {
            output.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException writeFailed) {
            synchronized (pendingLines) {
                droppedSinceFlush++;
                totalDropped++;
            }
        }
    }

    /** Gets the number of lines dropped since the start. */
    long totalDropped() {
        synchronized (pendingLines) {
            return totalDropped;
        }
    }

    @Override
    public void close() {
        synchronized (pendingLines) {
            closed = true;
        }
        writer.interrupt();
        try {
            writer.join(FLUSH_INTERVAL_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
