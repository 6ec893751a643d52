package org.geraniumreach.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.daemon.http.ErrorBody;
import org.geraniumreach.daemon.http.EventStream;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ServingException;

/**
 * Passes an answer on as server-sent events.
 *
 * <p>A caller that takes nothing, or whose connection has gone silent, would hold its attempt and a slot at the target for
 * good; after the stall limit the call is given up, which frees both. Invariant: the event that ends a whole answer is sent
 * only after all parts. Calls come one at a time, but for the caller's own progress, which only touches volatile fields.
 */
final class StreamedAnswer implements AnswerSink {

    /**
     * When a silent stream gets a comment, and when a caller that takes nothing is given up.
     *
     * @param keepAlive the silence after which a comment is sent
     * @param stall how long the caller may take nothing
     */
    record Timeouts(Duration keepAlive, Duration stall) {}

    private final Call call;
    private final OpenAiResponseWriter format;
    private final boolean withUsage;
    private final Timeouts timeouts;
    private final MonotonicClock clock;
    private final Runnable onCallerGone;
    private EventStream stream;
    private volatile long lastWriteNanos;
    private volatile long blockedSinceNanos;
    private volatile boolean blocked;

    StreamedAnswer(
            Call call,
            OpenAiResponseWriter format,
            boolean withUsage,
            Timeouts patience,
            MonotonicClock clock,
            Runnable callerGone) {
        this.call = call;
        this.format = format;
        this.withUsage = withUsage;
        this.timeouts = patience;
        this.clock = clock;
        this.onCallerGone = callerGone;
    }

    @Override
    public void writePart(String text, Runnable taken) {
        boolean first = stream == null;
        if (first && !open()) {
            return;
        }
        if (!stream.writeEvent(format.chunk(text, first))) {
            onCallerGone.run();
            return;
        }
        lastWriteNanos = clock.nanos();
        awaitWritable(taken);
    }

    private boolean open() {
        Optional<EventStream> opened = call.stream();
        opened.ifPresent(open -> stream = open);
        return opened.isPresent();
    }

    private void awaitWritable(Runnable taken) {
        blockedSinceNanos = clock.nanos();
        blocked = true;
        stream.onWritable(
                () -> {
                    blocked = false;
                    taken.run();
                },
                onCallerGone);
    }

    @Override
    public void finish(OpenAiResponseWriter.Usage usage, String finishReason) {
        if (stream == null && !open()) {
            return;
        }
        stream.writeEvent(format.finalChunk(finishReason));
        if (withUsage) {
            stream.writeEvent(format.usageChunk(usage));
        }
        stream.writeEvent(OpenAiResponseWriter.DONE);
        stream.end();
    }

    @Override
    public void fail(ServingException failure) {
        if (stream == null) {
            call.fail(failure);
            return;
        }
        // The status line is long sent. The error comes as an event, and the ending event never does, so that no client
        // takes the part it has for the whole.
        stream.writeEvent(ErrorBody.of(failure).toString().getBytes(StandardCharsets.UTF_8));
        stream.end();
    }

    @Override
    public boolean hasSentParts() {
        return stream != null;
    }

    @Override
    public void restart() {
        // Nothing is held: each part is passed on as it comes.
    }

    @Override
    public void onTick() {
        if (stream == null) {
            return;
        }
        long now = clock.nanos();
        if (blocked && now - blockedSinceNanos > timeouts.stall().toNanos()) {
            stream.abort();
            onCallerGone.run();
            return;
        }
        if (!blocked && now - lastWriteNanos > timeouts.keepAlive().toNanos()) {
            lastWriteNanos = now;
            if (!stream.writeKeepAlive()) {
                onCallerGone.run();
            }
        }
    }
}
