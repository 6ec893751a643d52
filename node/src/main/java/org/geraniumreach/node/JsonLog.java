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
 * <p>Invariants: callers never block on the output; lines are written in the order of the calls; lines beyond
 * {@link #MAX_PENDING_LINES} of either kind, retained and others, are dropped, and their numbers are logged. A dedicated thread writes
 * the pending lines in batches, so that logging costs callers no system call. Safe for use by several threads.
 */
final class JsonLog implements DecisionLog, AutoCloseable {

    /** Four seconds of lines of an entry at peak load, about 2 MB; as many retained lines may wait beside them. */
    static final int MAX_PENDING_LINES = 8_192;

    /** Lines are collected for this long and written in one batch. */
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final OutputStream output;
    private final LongSupplier wallClockMillis;
    private final Deque<String> pendingLines = new ArrayDeque<>();
    private final Thread writer = new Thread(this::runWriter, "log");
    private final LineQuota retained = new LineQuota();
    private final LineQuota others = new LineQuota();
    private long totalDropped;
    private boolean closed;

    /** How many lines of one kind may be added until the next flush; guarded by the pending lines. */
    private static final class LineQuota {
        private int lines;
        private long dropped;

        private boolean reserve() {
            if (lines >= MAX_PENDING_LINES) {
                dropped++;
                return false;
            }
            lines++;
            return true;
        }

        /** Allows as many lines again, and returns the number of those dropped. */
        private long reset() {
            long previous = dropped;
            lines = 0;
            dropped = 0;
            return previous;
        }
    }

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
        add(formatLine(event, subject, fields), others);
    }

    @Override
    public void writeRetained(EventCode event, String subject, Field... fields) {
        add(formatLine(event, subject, fields), retained);
    }

    private void add(String line, LineQuota quota) {
        synchronized (pendingLines) {
            if (quota.reserve()) {
                pendingLines.add(line);
            } else {
                totalDropped++;
            }
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
            long droppedOthers = others.reset();
            long droppedRetained = retained.reset();
            if (droppedOthers + droppedRetained > 0) {
                batch.append(formatLine(
                        EventCode.LOG_LINES_DROPPED,
                        "",
                        Field.of("lines", droppedOthers),
                        Field.of("retainedLines", droppedRetained)));
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
                others.dropped++;
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
