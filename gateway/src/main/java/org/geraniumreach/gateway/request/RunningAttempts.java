package org.geraniumreach.gateway.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The attempts of one request that have not ended: the current one, and while that waits for its connection, its silent predecessor.
 *
 * <p>Invariant: one of them is cancelled before the request is written for the other, so that at most one target works on the request,
 * however late timers run. Confined to the event loop.
 */
final class RunningAttempts {

    private final Consumer<Attempt> onReplaced;
    private Optional<Attempt> current = Optional.empty();
    private Optional<Attempt> predecessor = Optional.empty();

    /**
     * Creates an instance without attempts.
     *
     * @param onReplaced receives a predecessor that has been cancelled, not null
     */
    RunningAttempts(Consumer<Attempt> onReplaced) {
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
        endPredecessor();
        predecessor = current;
        current = Optional.of(next);
    }

    /** Cancels the predecessor, if there is one. */
    void endPredecessor() {
        Optional<Attempt> replaced = predecessor;
        predecessor = Optional.empty();
        replaced.ifPresent(attempt -> {
            attempt.cancel();
            onReplaced.accept(attempt);
        });
    }

    /** Cancels the other attempt, if there is one, since the request is about to be written for the given one. */
    void keepOnly(Attempt kept) {
        if (isPredecessor(kept)) {
            takeBack();
        } else {
            endPredecessor();
        }
    }

    /** Cancels the current attempt and makes its predecessor the current one again. */
    void takeBack() {
        Attempt cancelled = current.orElseThrow();
        cancelled.cancel();
        remove(cancelled);
    }

    /** Removes an attempt that has ended; the predecessor of the current one becomes the current one again. */
    void remove(Attempt ended) {
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
        all().forEach(Attempt::cancel);
        predecessor = Optional.empty();
        current = Optional.empty();
    }
}
