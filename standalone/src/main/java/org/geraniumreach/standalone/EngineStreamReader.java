package org.geraniumreach.standalone;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.ports.ModelEngine.EngineListener;
import org.geraniumreach.ports.ModelEngine.GenerationEnd;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * Reads an engine's stream of JSON lines and passes no more chunks to a listener than it requested.
 *
 * <p>Invariant: the connection is read only while no complete line is buffered. So a slow listener causes at most one
 * read to be buffered and applies backpressure to the engine's connection, yet it receives the end without requesting
 * another chunk. Chunks are delivered in sequence order, each once; a chunk out of sequence fails the stream. After the
 * end or a failure the listener is not called again. Safe for use by several threads: fields are guarded by this
 * object's lock, and the listener is called outside the lock, by one thread at a time.
 */
final class EngineStreamReader implements BodySubscriber<byte[]> {

    static final int MAXIMUM_LINE_BYTES = 1 << 20;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final EngineListener listener;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ArrayDeque<String> completeLines = new ArrayDeque<>();
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private Flow.Subscription subscription;
    private long nextSequence;
    private long demand;
    private boolean readPending;
    private boolean notifying;
    private boolean done;
    private PlatformException failure;
    private long lastReadNanos = System.nanoTime();

    EngineStreamReader(long nextSequence, EngineListener listener) {
        this.nextSequence = nextSequence;
        this.listener = listener;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        synchronized (this) {
            subscription = newSubscription;
            lastReadNanos = System.nanoTime();
        }
        processLines();
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        synchronized (this) {
            readPending = false;
            lastReadNanos = System.nanoTime();
            if (done) {
                return;
            }
            buffers.forEach(this::splitLines);
            if (partialLine.size() > MAXIMUM_LINE_BYTES && failure == null) {
                failure = badStream("line above " + MAXIMUM_LINE_BYTES + " bytes", null);
            }
        }
        processLines();
    }

    private void splitLines(ByteBuffer buffer) {
        while (buffer.hasRemaining()) {
            byte next = buffer.get();
            if (next != '\n') {
                partialLine.write(next);
                continue;
            }
            if (partialLine.size() > 0) {
                completeLines.add(partialLine.toString(StandardCharsets.UTF_8));
                partialLine.reset();
            }
        }
    }

    @Override
    public void onError(Throwable cause) {
        body.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        body.complete(EMPTY_BODY);
    }

    void request(int chunks) {
        if (chunks < 1) {
            throw new IllegalArgumentException("chunks below 1: " + chunks);
        }
        synchronized (this) {
            demand += chunks;
        }
        processLines();
    }

    /**
     * Fails the stream after the complete lines received so far have been delivered.
     *
     * @param cause the failure
     */
    void fail(PlatformException cause) {
        synchronized (this) {
            if (failure == null) {
                failure = cause;
            }
        }
        processLines();
    }

    synchronized void detach() {
        done = true;
        completeLines.clear();
    }

    /**
     * Returns the time since the last bytes arrived while a read is pending.
     *
     * @return the time in nanoseconds, 0 while no read is pending
     */
    synchronized long silentNanos() {
        if (done || subscription != null && !readPending) {
            return 0;
        }
        return System.nanoTime() - lastReadNanos;
    }

    /**
     * Delivers the lines that may be delivered, by one thread at a time, then requests another read if none is left.
     */
    private void processLines() {
        while (true) {
            String line;
            PlatformException ending = null;
            synchronized (this) {
                if (notifying || done) {
                    return;
                }
                line = pollLine();
                if (line == null) {
                    ending = deliverableFailure();
                    if (ending == null) {
                        requestRead();
                        return;
                    }
                    done = true;
                }
                notifying = true;
            }
            try {
                if (line != null) {
                    processLine(line);
                } else {
                    listener.onFailed(ending);
                }
            } finally {
                synchronized (this) {
                    notifying = false;
                }
            }
        }
    }

    private String pollLine() {
        String line = completeLines.peek();
        if (line == null) {
            return null;
        }
        if (demand == 0 && isChunk(line)) {
            return null;
        }
        return completeLines.poll();
    }

    private PlatformException deliverableFailure() {
        return completeLines.isEmpty() ? failure : null;
    }

    private void requestRead() {
        if (completeLines.isEmpty() && subscription != null && !readPending && failure == null) {
            readPending = true;
            subscription.request(1);
        }
    }

    private static boolean isChunk(String line) {
        return !line.startsWith("{\"start\"") && !line.startsWith("{\"end\"") && !line.startsWith("{\"failed\"");
    }

    private void processLine(String line) {
        JsonNode json;
        try {
            json = HttpTransport.JSON.readTree(line);
        } catch (IOException e) {
            abort(badStream("line is not JSON", e));
            return;
        }
        if (json.has("start")) {
            processStart(json.get("start"));
            return;
        }
        if (json.has("end")) {
            processEnd(json.get("end"));
            return;
        }
        if (json.has("failed")) {
            abort(badStream(json.get("failed").asText(), null));
            return;
        }
        processChunk(json);
    }

    private void processStart(JsonNode start) {
        try {
            listener.onStarted(AdapterReference.of(
                    start.path("adapter").asText(), start.path("version").asText()));
        } catch (IllegalArgumentException e) {
            abort(badStream("start names no adapter", e));
        }
    }

    private void processChunk(JsonNode json) {
        long sequence = json.path("sequence").asLong(-1);
        synchronized (this) {
            if (sequence == nextSequence) {
                nextSequence++;
                demand--;
            } else {
                sequence = -1;
            }
        }
        if (sequence < 0) {
            abort(badStream("chunk out of sequence", null));
            return;
        }
        listener.onChunk(
                sequence, json.path("text").asText(), json.path("tokens").asInt(1));
    }

    private void processEnd(JsonNode end) {
        AdapterReference served;
        try {
            served = AdapterReference.of(
                    end.path("adapter").asText(), end.path("version").asText());
        } catch (IllegalArgumentException e) {
            abort(badStream("end names no adapter", e));
            return;
        }
        long chunks = end.path("chunks").asLong(-1);
        synchronized (this) {
            if (chunks != nextSequence) {
                chunks = -1;
            } else {
                done = true;
                // The connection returns to its pool only after the response has been read completely.
                subscription.request(Long.MAX_VALUE);
            }
        }
        if (chunks < 0) {
            abort(badStream("end out of sequence", null));
            return;
        }
        listener.onEnded(new GenerationEnd(
                chunks,
                served,
                end.path("promptTokens").asInt(),
                end.path("generatedTokens").asInt(),
                end.path("finishReason").asText(),
                end.path("prefixHit").asBoolean()));
    }

    private void abort(PlatformException cause) {
        synchronized (this) {
            completeLines.clear();
            failure = cause;
            if (subscription != null) {
                subscription.cancel();
            }
        }
    }

    private static PlatformException badStream(String message, Throwable cause) {
        return new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "engine stream: " + message, cause);
    }
}
