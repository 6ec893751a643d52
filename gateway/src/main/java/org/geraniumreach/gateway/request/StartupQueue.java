package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * Holds requests that arrive before the entry knows a configuration and targets.
 *
 * <p>Intended for the simultaneous restart of many entries, when all callers reach entries that will be ready sooner
 * than a refused caller retries. Invariants: each request is released once, at the latest after {@link #MAXIMUM_HOLD}
 * or a fraction of its caller's timeout; nothing is held after the startup, nor once it has taken longer than
 * {@link #MAXIMUM_STARTUP}, since its end cannot be predicted then. Confined to the event loop.
 */
final class StartupQueue {

    private static final Duration MAXIMUM_HOLD = Duration.ofMillis(800);

    private static final Duration MAXIMUM_STARTUP = Duration.ofSeconds(2);

    private static final int CALLER_TIMEOUT_DIVISOR = 3;

    private final Timers timers;
    private final List<HeldRequest> held = new ArrayList<>();
    private boolean ended;

    /** A held request until it is released or cancelled. */
    private final class HeldRequest implements Cancellable {
        private final Runnable action;
        private Cancellable timer = Cancellable.NOOP;

        private HeldRequest(Runnable action) {
            this.action = action;
        }

        private void release() {
            cancel();
            action.run();
        }

        @Override
        public void cancel() {
            timer.cancel();
            held.remove(this);
        }
    }

    StartupQueue(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
        timers.schedule(MAXIMUM_STARTUP, this::end);
    }

    boolean isEnded() {
        return ended;
    }

    /** Holds a request; the action runs when the startup or the holding time of the request ends. */
    Cancellable hold(Duration callerTimeout, Runnable action) {
        HeldRequest added = new HeldRequest(action);
        held.add(added);
        Duration fraction = callerTimeout.dividedBy(CALLER_TIMEOUT_DIVISOR);
        added.timer = timers.schedule(fraction.compareTo(MAXIMUM_HOLD) < 0 ? fraction : MAXIMUM_HOLD, added::release);
        return added;
    }

    /** Releases all requests in order of receipt and stops holding further ones. */
    void end() {
        ended = true;
        List.copyOf(held).forEach(HeldRequest::release);
    }
}
