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
    record Patience(Duration keepAlive, Duration stall) {}

    private final Call call;
    private final OpenAiAnswers format;
    private final boolean withUsage;
    private final Patience patience;
    private final MonotonicClock clock;
    private final Runnable callerGone;
    private EventStream stream;
    private volatile long lastWriteNanos;
    private volatile long blockedSinceNanos;
    private volatile boolean blocked;

    StreamedAnswer(
            Call call,
            OpenAiAnswers format,
            boolean withUsage,
            Patience patience,
            MonotonicClock clock,
            Runnable callerGone) {
        this.call = call;
        this.format = format;
        this.withUsage = withUsage;
        this.patience = patience;
        this.clock = clock;
        this.callerGone = callerGone;
    }

    @Override
    public void part(String text, Runnable taken) {
        boolean first = stream == null;
        if (first && !begin()) {
            return;
        }
        if (!stream.event(format.part(text, first))) {
            callerGone.run();
            return;
        }
        lastWriteNanos = clock.nanos();
        awaitRoom(taken);
    }

    private boolean begin() {
        Optional<EventStream> opened = call.stream();
        opened.ifPresent(open -> stream = open);
        return opened.isPresent();
    }

    private void awaitRoom(Runnable taken) {
        blockedSinceNanos = clock.nanos();
        blocked = true;
        stream.whenWritable(
                () -> {
                    blocked = false;
                    taken.run();
                },
                callerGone);
    }

    @Override
    public void finish(OpenAiAnswers.Usage usage, String finishReason) {
        if (stream == null && !begin()) {
            return;
        }
        stream.event(format.lastPart(finishReason));
        if (withUsage) {
            stream.event(format.usagePart(usage));
        }
        stream.event(OpenAiAnswers.DONE);
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
        stream.event(ErrorBody.of(failure).toString().getBytes(StandardCharsets.UTF_8));
        stream.end();
    }

    @Override
    public boolean hasBegun() {
        return stream != null;
    }

    @Override
    public void restart() {
        // Nothing is held: each part is passed on as it comes.
    }

    @Override
    public void tick() {
        if (stream == null) {
            return;
        }
        long now = clock.nanos();
        if (blocked && now - blockedSinceNanos > patience.stall().toNanos()) {
            stream.abort();
            callerGone.run();
            return;
        }
        if (!blocked && now - lastWriteNanos > patience.keepAlive().toNanos()) {
            lastWriteNanos = now;
            if (!stream.keepAlive()) {
                callerGone.run();
            }
        }
    }
}
