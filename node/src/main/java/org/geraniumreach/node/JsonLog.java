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
 * Writes decisions as JSON, one object a line.
 *
 * <p>Invariants: a writer never waits for the reader of the output; lines beyond {@link #MOST_LINES} that wait are dropped, and a
 * line says how many were. A thread of its own writes what has gathered, so a decision costs no system call. Safe for use by
 * several threads.
 */
final class JsonLog implements DecisionLog, AutoCloseable {

    /** Lines that may wait: four seconds of an entry at its busiest, some 2 MB. */
    static final int MOST_LINES = 8_192;

    /** Lines gather for so long, which makes a write of many. */
    private static final long GATHER_MILLIS = 100;

    private final OutputStream output;
    private final LongSupplier millis;
    private final Deque<String> waiting = new ArrayDeque<>();
    private final Thread writer = new Thread(this::run, "log");
    private long dropped;
    private long droppedInAll;
    private boolean closed;

    private JsonLog(OutputStream output, LongSupplier millis) {
        this.output = Objects.requireNonNull(output, "output");
        this.millis = Objects.requireNonNull(millis, "millis");
        writer.setDaemon(true);
    }

    static JsonLog start(OutputStream output, LongSupplier millis) {
        JsonLog log = new JsonLog(output, millis);
        log.writer.start();
        return log;
    }

    static JsonLog toStandardOutput() {
        PrintStream output = System.out;
        return start(output, System::currentTimeMillis);
    }

    @Override
    public void write(EventCode event, String subject, Field... fields) {
        String line = line(event, subject, fields);
        synchronized (waiting) {
            if (waiting.size() >= MOST_LINES) {
                dropped++;
                droppedInAll++;
                return;
            }
            waiting.add(line);
        }
    }

    private String line(EventCode event, String subject, Field... fields) {
        StringBuilder line = new StringBuilder(192);
        line.append("{\"time\":").append(millis.getAsLong());
        line.append(",\"event\":").append(event.number());
        line.append(",\"name\":\"").append(event.name()).append('"');
        if (!subject.isEmpty()) {
            line.append(",\"id\":");
            quote(line, subject);
        }
        for (Field field : fields) {
            line.append(",\"").append(field.name()).append("\":");
            value(line, field.value());
        }
        return line.append("}\n").toString();
    }

    private static void value(StringBuilder line, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
        } else {
            quote(line, String.valueOf(value));
        }
    }

    private static void quote(StringBuilder line, String text) {
        line.append('"');
        for (int index = 0; index < text.length(); index++) {
            char each = text.charAt(index);
            if (each == '"' || each == '\\') {
                line.append('\\').append(each);
            } else if (each < ' ') {
                line.append(String.format("\\u%04x", (int) each));
            } else {
                line.append(each);
            }
        }
        line.append('"');
    }

    private void run() {
        try {
            while (!isClosed()) {
                Thread.sleep(GATHER_MILLIS);
                flush();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            flush();
        }
    }

    private boolean isClosed() {
        synchronized (waiting) {
            return closed;
        }
    }

    private void flush() {
        StringBuilder batch = new StringBuilder();
        synchronized (waiting) {
            waiting.forEach(batch::append);
            waiting.clear();
            if (dropped > 0) {
                batch.append(line(EventCode.LOG_LINES_DROPPED, "", Field.of("lines", dropped)));
                dropped = 0;
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        try {
            output.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException nobodyReads) {
            synchronized (waiting) {
                dropped++;
                droppedInAll++;
            }
        }
    }

    /** Gets how many lines had no room since the start. */
    long droppedInAll() {
        synchronized (waiting) {
            return droppedInAll;
        }
    }

    @Override
    public void close() {
        synchronized (waiting) {
            closed = true;
        }
        writer.interrupt();
        try {
            writer.join(GATHER_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
