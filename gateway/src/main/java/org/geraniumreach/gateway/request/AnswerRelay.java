package org.geraniumreach.gateway.request;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.model.MonotonicClock;

/**
 * Passes the answers of one request's attempts on as one answer.
 *
 * <p>Invariants: an answer that is no stream is passed on only when it is whole; of a stream only whole events are, each
 * number once and in order, under the head of the first target whose event was passed on. Confined to the event loop.
 */
final class AnswerRelay {

    private static final int LARGEST_WHOLE_ANSWER = 16 * 1024 * 1024;

    /** Streams begin with this number; one that begins later has lost its beginning. */
    private static final long FIRST_EVENT = 1;

    private final CallerAnswer answer;
    private final MonotonicClock clock;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private EventSplitter splitter = new EventSplitter();
    private Optional<TargetAnswerHead> head = Optional.empty();
    private boolean begun;
    private boolean attemptStreams;
    private OptionalLong lastEvent;
    private OptionalLong firstPartAt = OptionalLong.empty();
    private OptionalLong lastPartAt = OptionalLong.empty();
    private long longestPause;

    AnswerRelay(CallerAnswer answer, OptionalLong lastEvent, MonotonicClock clock) {
        this.answer = answer;
        this.lastEvent = lastEvent;
        this.clock = clock;
    }

    /** Takes the head of an attempt; false if the attempt cannot go on with what was sent. */
    boolean head(TargetAnswerHead newHead) {
        attemptStreams = newHead.isSuccess() && newHead.eventStream();
        splitter = new EventSplitter();
        if (begun) {
            return attemptStreams;
        }
        body.reset();
        head = Optional.of(newHead);
        return true;
    }

    /** Takes a part of an attempt's body; false if the attempt cannot go on with what was sent. */
    boolean part(byte[] part) {
        if (!attemptStreams) {
            body.writeBytes(part);
            return body.size() <= LARGEST_WHOLE_ANSWER;
        }
        for (EventSplitter.Event event : splitter.take(part)) {
            if (!follows(event)) {
                return false;
            }
            begin();
            notePause();
            answer.part(event.bytes());
        }
        return true;
    }

    private boolean follows(EventSplitter.Event event) {
        if (event.number().isEmpty()) {
            return true;
        }
        long number = event.number().getAsLong();
        boolean follows = lastEvent.isPresent() ? number == lastEvent.getAsLong() + 1 : number <= FIRST_EVENT;
        if (!follows) {
            return false;
        }
        lastEvent = OptionalLong.of(number);
        return true;
    }

    private void begin() {
        if (!begun) {
            begun = true;
            firstPartAt = OptionalLong.of(clock.nanos());
            answer.head(head.orElseThrow().status(), head.get().headers());
        }
    }

    private void notePause() {
        long now = clock.nanos();
        if (lastPartAt.isPresent()) {
            longestPause = Math.max(longestPause, now - lastPartAt.getAsLong());
        }
        lastPartAt = OptionalLong.of(now);
    }

    Duration longestPause() {
        return Duration.ofNanos(longestPause);
    }

    /** Queries whether the attempt that has just ended left nothing unfinished. */
    boolean isWhole() {
        return !attemptStreams || !splitter.hasRest();
    }

    /** Forgets what an attempt left unfinished. */
    void attemptLost() {
        if (!begun) {
            head = Optional.empty();
            body.reset();
        }
        splitter = new EventSplitter();
    }

    /** Ends the answer with what the last attempt has brought. */
    void finish() {
        begin();
        if (!attemptStreams && body.size() > 0) {
            answer.part(body.toByteArray());
        }
        answer.end();
    }

    boolean isBegun() {
        return begun;
    }

    /** Queries whether a target's own failure is at hand, of which nothing was passed on yet. */
    boolean isServerFault() {
        return !begun && head.isPresent() && head.get().isServerFault();
    }

    int status() {
        return head.map(TargetAnswerHead::status).orElse(0);
    }

    /** Gets the number to resume after, empty if a run would start as the caller asked. */
    OptionalLong resumeAfter() {
        return begun ? lastEvent : OptionalLong.empty();
    }

    long lastEvent() {
        return lastEvent.orElse(0);
    }

    Optional<Duration> firstPartAfter(long startedAt) {
        return firstPartAt.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(firstPartAt.getAsLong() - startedAt));
    }
}
