package org.geraniumreach.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.standins.http.LineSink;

/**
 * Sends one stream to one caller, from the token that the caller asked for.
 *
 * <p>Invariant: tokens are sent in order and each once. A slow caller holds up nothing but its own reader. Safe for use by
 * several threads, under its own lock.
 */
final class StreamReader {

    private static final int LINES_AT_ONCE = 64;
    private static final byte[] HEARTBEAT = {'\n'};
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EngineStream stream;
    private final LineSink sink;
    private final int dropAfter;
    private int next;
    private int sent;
    private boolean waitingForRoom;
    private long lastWrite = System.nanoTime();

    StreamReader(EngineStream stream, LineSink sink, int from, int dropAfter) {
        this.stream = stream;
        this.sink = sink;
        this.next = from;
        this.dropAfter = dropAfter;
    }

    boolean isOpen() {
        return sink.isOpen();
    }

    /** Sends the first line, so that the caller knows that its stream is taken, and what it runs on. */
    synchronized void begin() {
        sink.write(stream.firstLine());
    }

    /** Sends what is there and can be sent. */
    synchronized void pump() {
        while (sink.isOpen() && !waitingForRoom) {
            // The outcome is read first: what was generated before the end is then seen whole.
            boolean over = !stream.isRunning();
            int until = Math.min(stream.generated(), next + LINES_AT_ONCE);
            if (next >= until) {
                finishIf(over);
                return;
            }
            if (!sink.canWrite()) {
                waitForRoom();
                return;
            }
            send(until);
        }
    }

    private void send(int until) {
        StringBuilder lines = new StringBuilder();
        for (; next < until; next++) {
            stream.appendLine(lines, next);
            sent++;
        }
        sink.write(lines.toString().getBytes(StandardCharsets.US_ASCII));
        lastWrite = System.nanoTime();
        if (dropAfter > 0 && sent >= dropAfter) {
            sink.drop();
        }
    }

    private void finishIf(boolean over) {
        if (over) {
            sink.write(stream.lastLine());
            sink.finish();
        }
    }

    private void waitForRoom() {
        waitingForRoom = true;
        sink.whenWritable(() -> {
            synchronized (this) {
                waitingForRoom = false;
            }
            pump();
        });
    }

    /** Sends an empty line if nothing was sent for long, so that silence shows a lost connection. */
    synchronized void heartbeat() {
        if (sink.isOpen() && !waitingForRoom && System.nanoTime() - lastWrite > HEARTBEAT_NANOS) {
            sink.write(HEARTBEAT);
            lastWrite = System.nanoTime();
        }
    }
}
