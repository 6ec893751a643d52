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
 * Streams an answer to the caller as server-sent events.
 *
 * <p>A caller that reads nothing, or whose connection is dead, would occupy its attempt and a slot at the target
 * indefinitely; after the stall limit the call is aborted, which frees both. Invariant: the terminating event is sent
 * only after all parts of a complete answer. Methods are called one at a time, except the writability callback, which
 * accesses only volatile fields.
 */
final class StreamedAnswer implements AnswerSink {

    /**
     * The timeouts of a stream.
     *
     * @param keepAlive the idle time after which a keep-alive comment is sent
     * @param stall how long the caller may read nothing before its call is aborted
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
            Timeouts timeouts,
            MonotonicClock clock,
            Runnable onCallerGone) {
        this.call = call;
        this.format = format;
        this.withUsage = withUsage;
        this.timeouts = timeouts;
        this.clock = clock;
        this.onCallerGone = onCallerGone;
    }

    @Override
    public void writePart(String text, Runnable onReady) {
        boolean first = stream == null;
        if (first && !open()) {
            return;
        }
        if (!stream.writeEvent(format.chunk(text, first))) {
            onCallerGone.run();
            return;
        }
        lastWriteNanos = clock.nanos();
        awaitWritable(onReady);
    }

    private boolean open() {
        Optional<EventStream> opened = call.stream();
        opened.ifPresent(eventStream -> stream = eventStream);
        return opened.isPresent();
    }

    private void awaitWritable(Runnable onReady) {
        blockedSinceNanos = clock.nanos();
        blocked = true;
        stream.onWritable(
                () -> {
                    blocked = false;
                    onReady.run();
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
        // The status line has been sent already. The error is sent as an event and the terminating event is omitted, so
        // that no client takes a partial answer for a complete one.
        stream.writeEvent(ErrorBody.of(failure).toString().getBytes(StandardCharsets.UTF_8));
        stream.end();
    }

    @Override
    public boolean hasSentParts() {
        return stream != null;
    }

    @Override
    public void restart() {
        // Nothing is buffered: each part is sent as it arrives.
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
