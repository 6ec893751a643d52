package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.store.RowFreshness;

/**
 * Holds a request that has been taken up until what is known of the store's rows may be acted on.
 *
 * <p>Invariant: the action runs once, at the latest when the time limit is over, and not after a cancellation. Confined to the event loop.
 */
final class FreshRowsWait implements Cancellable {

    private final RowFreshness rows;
    private final Timers timers;
    private final Runnable action;
    private Cancellable timer = Cancellable.NOOP;

    private FreshRowsWait(RowFreshness rows, Timers timers, Runnable action) {
        this.rows = Objects.requireNonNull(rows, "rows");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.action = Objects.requireNonNull(action, "action");
    }

    /** Starts a wait for rows that may not be acted on now. */
    static Cancellable start(RowFreshness rows, Timers timers, Duration firstCheck, Duration limit, Runnable action) {
        FreshRowsWait wait = new FreshRowsWait(rows, timers, action);
        wait.checkAfter(firstCheck, limit);
        return wait;
    }

    private void checkAfter(Duration delay, Duration limit) {
        Duration left = limit.minus(delay);
        timer = timers.schedule(left.isNegative() ? limit : delay, () -> check(left));
    }

    private void check(Duration left) {
        Optional<Duration> next = left.isNegative() ? Optional.empty() : rows.timeUntilNextCheck();
        next.ifPresentOrElse(delay -> checkAfter(delay, left), action);
    }

    @Override
    public void cancel() {
        timer.cancel();
    }
}
