package org.geraniumreach.node;

import java.time.Duration;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * Passes the first answer to a call to a listener, or a fallback value if none arrives in time.
 *
 * <p>Invariant: the listener is called at most once. Confined to the event loop.
 *
 * @param <T> the type of the answer
 */
final class TimeoutCallback<T> implements Consumer<T> {

    private final Consumer<T> listener;
    private Cancellable timer = Cancellable.NOOP;
    private Cancellable call = Cancellable.NOOP;
    private boolean delivered;

    TimeoutCallback(Consumer<T> listener) {
        this.listener = listener;
    }

    /** Starts the timeout, after which the call is cancelled and the listener gets the fallback value. */
    void startTimeout(Duration timeout, T fallback, Timers timers) {
        timer = timers.schedule(timeout, () -> {
            call.cancel();
            accept(fallback);
        });
    }

    /** Sets the call that is cancelled on timeout. */
    void setCall(Cancellable startedCall) {
        call = startedCall;
    }

    @Override
    public void accept(T answer) {
        if (delivered) {
            return;
        }
        delivered = true;
        timer.cancel();
        listener.accept(answer);
    }
}
