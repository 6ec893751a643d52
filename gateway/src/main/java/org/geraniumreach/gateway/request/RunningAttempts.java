package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * The attempts of one request that have not ended: the current one, and while another target is taking the request over, its silent predecessor.
 *
 * <p>Invariant: the predecessor is cancelled when the answer of the current attempt begins, and at the latest {@link #OVERLAP} after the request
 * was sent to the other target, so that two targets do not work on a request for longer. Confined to the event loop.
 */
final class RunningAttempts {

    /** Targets refuse a request within a few milliseconds; above 400 ms, two targets would count as working on it. */
    static final Duration OVERLAP = Duration.ofMillis(200);

    private final Timers timers;
    private final Consumer<Attempt> onReplaced;
    private Optional<Attempt> current = Optional.empty();
    private Optional<Attempt> predecessor = Optional.empty();
    private Cancellable overlapEnd = Cancellable.NOOP;

    /**
     * Creates an instance without attempts.
     *
     * @param timers schedules the end of the overlap, not null
     * @param onReplaced receives a predecessor that has been cancelled, not null
     */
    RunningAttempts(Timers timers, Consumer<Attempt> onReplaced) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.onReplaced = Objects.requireNonNull(onReplaced, "onReplaced");
    }

    Optional<Attempt> current() {
        return current;
    }

    boolean contains(Attempt attempt) {
        return isIn(current, attempt) || isIn(predecessor, attempt);
    }

    boolean isPredecessor(Attempt attempt) {
        return isIn(predecessor, attempt);
    }

    private static boolean isIn(Optional<Attempt> place, Attempt attempt) {
        return place.filter(held -> held == attempt).isPresent();
    }

    /** Makes a new attempt the current one, and the attempt that was current its predecessor. */
    void add(Attempt next) {
        endOverlap();
        predecessor = current;
        current = Optional.of(next);
    }

    /** Called when an attempt's request is being sent, so that its target may begin at any time. */
    void onSent(Attempt sent) {
        if (isIn(current, sent) && predecessor.isPresent()) {
            overlapEnd.cancel();
            overlapEnd = timers.schedule(OVERLAP, this::endOverlap);
        }
    }

    /** Cancels the predecessor, if there is one. */
    void endOverlap() {
        overlapEnd.cancel();
        Optional<Attempt> replaced = predecessor;
        predecessor = Optional.empty();
        replaced.ifPresent(attempt -> {
            attempt.cancel();
            onReplaced.accept(attempt);
        });
    }

    /** Cancels the current attempt and makes its predecessor the current one again. */
    void takeBack() {
        Attempt cancelled = current.orElseThrow();
        cancelled.cancel();
        remove(cancelled);
    }

    /** Removes an attempt that has ended; the predecessor of the current one becomes the current one again. */
    void remove(Attempt ended) {
        overlapEnd.cancel();
        if (isIn(current, ended)) {
            current = predecessor;
        }
        predecessor = Optional.empty();
    }

    /** Gets all attempts that have not ended. */
    List<Attempt> all() {
        return Stream.concat(predecessor.stream(), current.stream()).toList();
    }

    /** Cancels and removes all attempts. */
    void cancelAll() {
        overlapEnd.cancel();
        all().forEach(Attempt::cancel);
        predecessor = Optional.empty();
        current = Optional.empty();
    }
}
