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
 * Reads an engine's stream, lines of JSON, and tells a listener of no more chunks than it asked for.
 *
 * <p>Invariant: the connection is read only while no whole line is held, so a slow listener holds at most one read's worth
 * of bytes and slows its engine's connection, and yet hears of the end without asking for a chunk more. Chunks are told of in the order of
 * their sequence, each once; one out of sequence ends the stream as failed. After the end or a failure the listener hears
 * nothing more. Safe for use by several threads: fields are guarded by this object's lock, and listeners are called by
 * whichever thread holds the turn, outside the lock.
 */
final class StreamLines implements BodySubscriber<byte[]> {

    static final int MAXIMUM_LINE_BYTES = 1 << 20;

    private static final byte[] NOTHING = new byte[0];

    private final EngineListener listener;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ArrayDeque<String> whole = new ArrayDeque<>();
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Flow.Subscription subscription;
    private long nextSequence;
    private long demand;
    private boolean reading;
    private boolean telling;
    private boolean done;
    private PlatformException failure;
    private long lastHeard = System.nanoTime();

    StreamLines(long nextSequence, EngineListener listener) {
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
            lastHeard = System.nanoTime();
        }
        proceed();
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        synchronized (this) {
            reading = false;
            lastHeard = System.nanoTime();
            if (done) {
                return;
            }
            buffers.forEach(this::split);
            if (partial.size() > MAXIMUM_LINE_BYTES && failure == null) {
                failure = broken("line above " + MAXIMUM_LINE_BYTES + " bytes", null);
            }
        }
        proceed();
    }

    private void split(ByteBuffer buffer) {
        while (buffer.hasRemaining()) {
            byte next = buffer.get();
            if (next != '\n') {
                partial.write(next);
                continue;
            }
            if (partial.size() > 0) {
                whole.add(partial.toString(StandardCharsets.UTF_8));
                partial.reset();
            }
        }
    }

    @Override
    public void onError(Throwable cause) {
        body.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        body.complete(NOTHING);
    }

    void request(int chunks) {
        if (chunks < 1) {
            throw new IllegalArgumentException("chunks below 1: " + chunks);
        }
        synchronized (this) {
            demand += chunks;
        }
        proceed();
    }

    /**
     * Ends the stream as failed once the whole lines before it are told of.
     *
     * @param cause the failure
     */
    void fail(PlatformException cause) {
        synchronized (this) {
            if (failure == null) {
                failure = cause;
            }
        }
        proceed();
    }

    synchronized void detach() {
        done = true;
        whole.clear();
    }

    /**
     * Gets how long nothing has come although the connection is being read.
     *
     * @return nanoseconds, 0 while it is not read
     */
    synchronized long silentFor() {
        if (done || subscription != null && !reading) {
            return 0;
        }
        return System.nanoTime() - lastHeard;
    }

    /** Tells of what may be told, one thread at a time, then reads on if more is wanted. */
    private void proceed() {
        while (true) {
            String line;
            PlatformException ending = null;
            synchronized (this) {
                if (telling || done) {
                    return;
                }
                line = next();
                if (line == null) {
                    ending = endingFailure();
                    if (ending == null) {
                        readOn();
                        return;
                    }
                    done = true;
                }
                telling = true;
            }
            try {
                if (line != null) {
                    tell(line);
                } else {
                    listener.failed(ending);
                }
            } finally {
                synchronized (this) {
                    telling = false;
                }
            }
        }
    }

    private String next() {
        String line = whole.peek();
        if (line == null) {
            return null;
        }
        if (demand == 0 && isChunk(line)) {
            return null;
        }
        return whole.poll();
    }

    private PlatformException endingFailure() {
        return whole.isEmpty() ? failure : null;
    }

    private void readOn() {
        if (whole.isEmpty() && subscription != null && !reading && failure == null) {
            reading = true;
            subscription.request(1);
        }
    }

    private static boolean isChunk(String line) {
        return !line.startsWith("{\"start\"") && !line.startsWith("{\"end\"") && !line.startsWith("{\"failed\"");
    }

    private void tell(String line) {
        JsonNode json;
        try {
            json = HttpTransport.JSON.readTree(line);
        } catch (IOException e) {
            giveUp(broken("line is not JSON", e));
            return;
        }
        if (json.has("start")) {
            tellStart(json.get("start"));
            return;
        }
        if (json.has("end")) {
            tellEnd(json.get("end"));
            return;
        }
        if (json.has("failed")) {
            giveUp(broken(json.get("failed").asText(), null));
            return;
        }
        tellChunk(json);
    }

    private void tellStart(JsonNode start) {
        try {
            listener.started(AdapterReference.of(
                    start.path("adapter").asText(), start.path("version").asText()));
        } catch (IllegalArgumentException e) {
            giveUp(broken("start names no adapter", e));
        }
    }

    private void tellChunk(JsonNode json) {
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
            giveUp(broken("chunk out of sequence", null));
            return;
        }
        listener.chunk(sequence, json.path("text").asText(), json.path("tokens").asInt(1));
    }

    private void tellEnd(JsonNode end) {
        AdapterReference served;
        try {
            served = AdapterReference.of(
                    end.path("adapter").asText(), end.path("version").asText());
        } catch (IllegalArgumentException e) {
            giveUp(broken("end names no adapter", e));
            return;
        }
        long chunks = end.path("chunks").asLong(-1);
        synchronized (this) {
            if (chunks != nextSequence) {
                chunks = -1;
            } else {
                done = true;
                // The connection goes back to its pool only when the answer's last bytes are read.
                subscription.request(Long.MAX_VALUE);
            }
        }
        if (chunks < 0) {
            giveUp(broken("end out of sequence", null));
            return;
        }
        listener.ended(new GenerationEnd(
                chunks,
                served,
                end.path("promptTokens").asInt(),
                end.path("generatedTokens").asInt(),
                end.path("finishReason").asText(),
                end.path("prefixHit").asBoolean()));
    }

    private void giveUp(PlatformException cause) {
        synchronized (this) {
            whole.clear();
            failure = cause;
            if (subscription != null) {
                subscription.cancel();
            }
        }
    }

    private static PlatformException broken(String message, Throwable cause) {
        return new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "engine stream: " + message, cause);
    }
}
