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

    private static final int MAXIMUM_BUFFERED_BYTES = 16 * 1024 * 1024;

    /** Streams begin with this number; one that begins later has lost its beginning. */
    private static final long FIRST_EVENT_NUMBER = 1;

    private final CallerAnswer answer;
    private final MonotonicClock clock;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private EventSplitter splitter = new EventSplitter();
    private Optional<TargetAnswerHead> head = Optional.empty();
    private boolean begun;
    private boolean attemptIsStream;
    private OptionalLong lastEventNumber;
    private OptionalLong firstPartAt = OptionalLong.empty();
    private OptionalLong lastPartAt = OptionalLong.empty();
    private long maximumPauseNanos;

    AnswerRelay(CallerAnswer answer, OptionalLong lastEvent, MonotonicClock clock) {
        this.answer = answer;
        this.lastEventNumber = lastEvent;
        this.clock = clock;
    }

    /** Takes the head of an attempt; false if the attempt cannot go on with what was sent. */
    boolean onHead(TargetAnswerHead newHead) {
        attemptIsStream = newHead.isSuccess() && newHead.eventStream();
        splitter = new EventSplitter();
        if (begun) {
            return attemptIsStream;
        }
        body.reset();
        head = Optional.of(newHead);
        return true;
    }

    /** Takes a part of an attempt's body; false if the attempt cannot go on with what was sent. */
    boolean onPart(byte[] part) {
        if (!attemptIsStream) {
            body.writeBytes(part);
            return body.size() <= MAXIMUM_BUFFERED_BYTES;
        }
        for (EventSplitter.Event event : splitter.split(part)) {
            if (!acceptNextEvent(event)) {
                return false;
            }
            beginIfNeeded();
            recordPause();
            answer.part(event.bytes());
        }
        return true;
    }

    private boolean acceptNextEvent(EventSplitter.Event event) {
        if (event.number().isEmpty()) {
            return true;
        }
        long number = event.number().getAsLong();
        boolean follows =
                lastEventNumber.isPresent() ? number == lastEventNumber.getAsLong() + 1 : number <= FIRST_EVENT_NUMBER;
        if (!follows) {
            return false;
        }
        lastEventNumber = OptionalLong.of(number);
        return true;
    }

    private void beginIfNeeded() {
        if (!begun) {
            begun = true;
            firstPartAt = OptionalLong.of(clock.nanos());
            answer.head(head.orElseThrow().status(), head.get().headers());
        }
    }

    private void recordPause() {
        long now = clock.nanos();
        if (lastPartAt.isPresent()) {
            maximumPauseNanos = Math.max(maximumPauseNanos, now - lastPartAt.getAsLong());
        }
        lastPartAt = OptionalLong.of(now);
    }

    Duration maximumPause() {
        return Duration.ofNanos(maximumPauseNanos);
    }

    /** Queries whether the attempt that has just ended left nothing unfinished. */
    boolean isComplete() {
        return !attemptIsStream || !splitter.hasIncompleteEvent();
    }

    /** Forgets what an attempt left unfinished. */
    void discardAttempt() {
        if (!begun) {
            head = Optional.empty();
            body.reset();
        }
        splitter = new EventSplitter();
    }

    /** Ends the answer with what the last attempt has brought. */
    void finish() {
        beginIfNeeded();
        if (!attemptIsStream && body.size() > 0) {
            answer.part(body.toByteArray());
        }
        answer.end();
    }

    boolean isBegun() {
        return begun;
    }

    /** Queries whether a target's own failure is at hand, of which nothing was passed on yet. */
    boolean isServerErrorPending() {
        return !begun && head.isPresent() && head.get().isServerFault();
    }

    int status() {
        return head.map(TargetAnswerHead::status).orElse(0);
    }

    /** Gets the number to resume after, empty if a run would start as the caller asked. */
    OptionalLong resumeAfterNumber() {
        return begun ? lastEventNumber : OptionalLong.empty();
    }

    long lastEventNumber() {
        return lastEventNumber.orElse(0);
    }

    Optional<Duration> timeToFirstPart(long startedAt) {
        return firstPartAt.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(firstPartAt.getAsLong() - startedAt));
    }
}
