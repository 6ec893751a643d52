package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/**
 * What one request waits for before it is sent, and the time that it spends waiting.
 *
 * <p>Invariant: the request waits for at most one timer, one change of its adapter and one decision at a time. Confined
 * to the event loop.
 */
final class PendingWaits {

    private final Timers timers;
    private final MonotonicClock clock;
    private final WaitClock waitClock = new WaitClock();
    private Cancellable timer = Cancellable.NOOP;
    private Cancellable adapterChange = Cancellable.NOOP;
    private Cancellable decision = Cancellable.NOOP;

    PendingWaits(Timers timers, MonotonicClock clock) {
        this.timers = timers;
        this.clock = clock;
    }

    void start(WaitCause cause) {
        waitClock.startWait(cause, clock.nanos());
    }

    void stop() {
        waitClock.stopWait(clock.nanos());
    }

    Waits snapshot() {
        return waitClock.snapshot(clock.nanos());
    }

    void schedule(Duration delay, Runnable action) {
        timer = timers.schedule(delay, action);
    }

    void cancelTimer() {
        timer.cancel();
    }

    void setAdapterChange(Cancellable registration) {
        adapterChange = registration;
    }

    void cancelAdapterChange() {
        adapterChange.cancel();
    }

    /** Sets the decision that is waited for; one that has been made already replaces nothing. */
    void setDecision(Cancellable pending) {
        if (pending != Cancellable.NOOP) {
            decision = pending;
        }
    }

    void cancelAll() {
        decision.cancel();
        timer.cancel();
        adapterChange.cancel();
    }
}
