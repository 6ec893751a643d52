package org.geraniumreach.node;

import java.time.Duration;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * Takes the one answer to a call, or a stand-in for it when the time is up.
 *
 * <p>Invariant: its listener is told once. Confined to the event loop.
 *
 * @param <T> what the call gives
 */
final class TimeoutCallback<T> implements Consumer<T> {

    private final Consumer<T> listener;
    private Cancellable timer = Cancellable.NOOP;
    private Cancellable call = Cancellable.NOOP;
    private boolean delivered;

    TimeoutCallback(Consumer<T> listener) {
        this.listener = listener;
    }

    /** Sets what is told if there is no answer within a time. */
    void startTimeout(Duration limit, T missing, Timers timers) {
        timer = timers.schedule(limit, () -> {
            call.cancel();
            accept(missing);
        });
    }

    /** Sets the call, which is called off when the time is up. */
    void setCall(Cancellable begun) {
        call = begun;
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
