package org.geraniumreach.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.standins.http.LineSink;

/**
 * Sends a stream to one caller, starting at the token that the caller requested.
 *
 * <p>Invariant: tokens are sent in order, each exactly once. A slow caller blocks only its own reader. Safe for use by
 * several threads, under its own lock.
 */
final class StreamReader {

    private static final int MAXIMUM_LINES_PER_WRITE = 64;
    private static final byte[] HEARTBEAT = {'\n'};
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EngineStream stream;
    private final LineSink sink;
    private final int dropAfterTokens;
    private int nextToken;
    private int sentTokens;
    private boolean waitingUntilWritable;
    private long lastWriteNanos = System.nanoTime();

    StreamReader(EngineStream stream, LineSink sink, int from, int dropAfter) {
        this.stream = stream;
        this.sink = sink;
        this.nextToken = from;
        this.dropAfterTokens = dropAfter;
    }

    boolean isOpen() {
        return sink.isOpen();
    }

    /** Sends the first line, which confirms the stream and names the adapter and version that serve it. */
    synchronized void sendFirstLine() {
        sink.write(stream.firstLine());
    }

    /** Sends the tokens generated so far, as far as the connection accepts them. */
    synchronized void sendAvailable() {
        while (sink.isOpen() && !waitingUntilWritable) {
            // The outcome is read before the number of tokens, so that a finished stream is sent completely.
            boolean over = !stream.isRunning();
            int until = Math.min(stream.generated(), nextToken + MAXIMUM_LINES_PER_WRITE);
            if (nextToken >= until) {
                finishIfOver(over);
                return;
            }
            if (!sink.canWrite()) {
                waitUntilWritable();
                return;
            }
            send(until);
        }
    }

    private void send(int until) {
        StringBuilder lines = new StringBuilder();
        for (; nextToken < until; nextToken++) {
            stream.appendLine(lines, nextToken);
            sentTokens++;
        }
        sink.write(lines.toString().getBytes(StandardCharsets.US_ASCII));
        lastWriteNanos = System.nanoTime();
        if (dropAfterTokens > 0 && sentTokens >= dropAfterTokens) {
            sink.drop();
        }
    }

    private void finishIfOver(boolean over) {
        if (over) {
            sink.write(stream.lastLine());
            sink.finish();
        }
    }

    private void waitUntilWritable() {
        waitingUntilWritable = true;
        sink.whenWritable(() -> {
            synchronized (this) {
                waitingUntilWritable = false;
            }
            sendAvailable();
        });
    }

    /** Sends an empty line after an idle period, so that a caller can detect a lost connection by its silence. */
    synchronized void heartbeat() {
        if (sink.isOpen() && !waitingUntilWritable && System.nanoTime() - lastWriteNanos > HEARTBEAT_INTERVAL_NANOS) {
            sink.write(HEARTBEAT);
            lastWriteNanos = System.nanoTime();
        }
    }
}
