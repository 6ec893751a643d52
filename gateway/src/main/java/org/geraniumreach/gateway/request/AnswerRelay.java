package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.model.MonotonicClock;

/**
 * Relays the answers of one request's attempts to the caller as a single answer.
 *
 * <p>Invariants: an answer that is not a stream is relayed only once it is complete. Of a stream only complete events
 * are relayed, each number once and in order, under the head of the first target whose event was relayed. What is held of
 * an answer is granted by the memory that all answers share. Confined to the event loop.
 */
final class AnswerRelay {

    /** The number of the first event of a stream; a stream that begins with a higher number is missing events. */
    private static final long FIRST_EVENT_NUMBER = 1;

    /**
     * The most events in a row that have no number, such as comments that keep a connection open; a target that sends them without
     * end would occupy the event loop until the request's deadline.
     */
    private static final int MAX_UNNUMBERED_EVENTS = 10_000;

    private final CallerAnswer answer;
    private final MonotonicClock clock;
    private final AnswerMemory memory;
    private final List<byte[]> body = new ArrayList<>();
    private long heldBytes;
    private int unnumberedEvents;
    private EventSplitter splitter = new EventSplitter();
    private EventPace pace = new EventPace();
    private Optional<TargetAnswerHead> head = Optional.empty();
    private boolean begun;
    private boolean attemptIsStream;
    private OptionalLong lastEventNumber;
    private OptionalLong firstPartAt = OptionalLong.empty();
    private OptionalLong lastPartAt = OptionalLong.empty();
    private long maximumPauseNanos;

    AnswerRelay(CallerAnswer answer, OptionalLong lastEventNumber, AnswerMemory memory, MonotonicClock clock) {
        this.answer = answer;
        this.memory = memory;
        this.lastEventNumber = lastEventNumber;
        this.clock = clock;
    }

    /** Handles the head of an attempt; returns false if the attempt cannot continue the answer sent so far. */
    boolean onHead(TargetAnswerHead newHead) {
        attemptIsStream = newHead.isSuccess() && newHead.eventStream();
        splitter = new EventSplitter();
        pace = new EventPace();
        release();
        if (begun) {
            return attemptIsStream;
        }
        head = Optional.of(newHead);
        return true;
    }

    /** Handles a part of an attempt's body; returns false if it cannot continue the answer sent so far. */
    boolean onPart(byte[] part) {
        if (!attemptIsStream) {
            body.add(part);
            return hold(heldBytes + part.length);
        }
        List<EventSplitter.Event> events = splitter.split(part);
        if (!hold(splitter.pendingBytes())) {
            return false;
        }
        pace.onEvents(events.size(), clock.nanos());
        for (EventSplitter.Event event : events) {
            if (!acceptNextEvent(event)) {
                return false;
            }
            beginIfNeeded();
            recordPause();
            answer.writePart(event.bytes());
        }
        return true;
    }

    /** Holds a number of bytes instead of those held so far; returns false if there is no memory for them. */
    private boolean hold(long bytes) {
        if (bytes > heldBytes && !memory.tryHold(heldBytes, bytes - heldBytes)) {
            return false;
        }
        if (bytes < heldBytes) {
            memory.release(heldBytes - bytes);
        }
        heldBytes = bytes;
        return true;
    }

    /** Discards what is held of an answer, as it is not relayed any more. */
    void release() {
        body.clear();
        hold(0);
    }

    private boolean acceptNextEvent(EventSplitter.Event event) {
        if (event.number().isEmpty()) {
            unnumberedEvents++;
            return unnumberedEvents <= MAX_UNNUMBERED_EVENTS;
        }
        unnumberedEvents = 0;
        long number = event.number().getAsLong();
        boolean isNext =
                lastEventNumber.isPresent() ? number == lastEventNumber.getAsLong() + 1 : number <= FIRST_EVENT_NUMBER;
        if (!isNext) {
            return false;
        }
        lastEventNumber = OptionalLong.of(number);
        return true;
    }

    private void beginIfNeeded() {
        if (!begun) {
            begun = true;
            firstPartAt = OptionalLong.of(clock.nanos());
            answer.writeHead(head.orElseThrow().status(), head.get().headers());
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

    /** Gets the usual interval between the events of the last attempt, empty if it had too few events. */
    Optional<Duration> eventInterval() {
        return pace.usualInterval();
    }

    /** Queries whether the attempt that has just ended left no incomplete event. */
    boolean isComplete() {
        return !attemptIsStream || !splitter.hasIncompleteEvent();
    }

    /** Discards the incomplete data of a failed attempt. */
    void discardAttempt() {
        if (!begun) {
            head = Optional.empty();
        }
        release();
        splitter = new EventSplitter();
    }

    /** Completes the answer with the result of the last attempt. */
    void finish() {
        beginIfNeeded();
        if (!attemptIsStream) {
            body.forEach(answer::writePart);
        }
        release();
        answer.end();
    }

    boolean isBegun() {
        return begun;
    }

    /** Queries whether the last attempt answered with a server error that was not relayed. */
    boolean isServerErrorPending() {
        return !begun && head.isPresent() && head.get().isServerError();
    }

    int status() {
        return head.map(TargetAnswerHead::status).orElse(0);
    }

    /** Gets the event number after which to resume, empty if the next attempt starts as the caller requested. */
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
