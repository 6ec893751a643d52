package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Requests to other entries that have not been answered, by number.
 *
 * <p>Invariant: each callback is called at most once: with the answer, or with a default once the time for it is over. Confined to the
 * event loop.
 *
 * @param <T> the type of the answers
 */
public final class PendingAnswers<T> {

    private final Timers timers;
    private final Map<Long, Pending<T>> pending = new HashMap<>();
    private long lastNumber;

    private record Pending<T>(Consumer<T> callback, Cancellable timeout) {}

    /**
     * Creates an instance without pending requests.
     *
     * @param timers runs the timeouts, not null
     */
    public PendingAnswers(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Returns a number for a request.
     *
     * @return the number, never returned before
     */
    public long nextNumber() {
        return ++lastNumber;
    }

    /**
     * Adds a request that has been sent.
     *
     * @param number the number of the request
     * @param timeout the time to wait for the answer, not null
     * @param defaultAnswer the answer if none comes in time
     * @param callback receives the answer, not null
     * @return a handle that cancels the request, not null
     */
    public Cancellable add(long number, Duration timeout, T defaultAnswer, Consumer<T> callback) {
        Cancellable timer = timers.schedule(timeout, () -> complete(number, defaultAnswer));
        pending.put(number, new Pending<>(callback, timer));
        return () -> remove(number);
    }

    private Pending<T> remove(long number) {
        Pending<T> removed = pending.remove(number);
        if (removed != null) {
            removed.timeout().cancel();
        }
        return removed;
    }

    /**
     * Completes a request; ignored if it has been completed or cancelled.
     *
     * @param number the number of the request
     * @param answer the answer
     */
    public void complete(long number, T answer) {
        Pending<T> completed = remove(number);
        if (completed != null) {
            completed.callback().accept(answer);
        }
    }
}
