package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * Holds back requests that come before the entry knows a configuration and targets.
 *
 * <p>Intended for restarts of many entries at once, when all callers reach entries that will be ready in less time than it takes
 * a rejected caller to come back. Invariants: each request goes on once, at the latest after
 * {@link #MAXIMUM_HOLD} or a part of its caller's time; nothing is held after the start, nor by an entry whose start takes longer than
 * {@link #MAXIMUM_STARTUP}, since it cannot tell when that will end. Confined to the event loop.
 */
final class StartupQueue {

    private static final Duration MAXIMUM_HOLD = Duration.ofMillis(800);

    private static final Duration MAXIMUM_STARTUP = Duration.ofSeconds(2);

    private static final int CALLER_TIMEOUT_DIVISOR = 3;

    private final Timers timers;
    private final List<HeldRequest> held = new ArrayList<>();
    private boolean ended;

    /** One request, which goes on by itself or is cancelled before. */
    private final class HeldRequest implements Cancellable {
        private final Runnable action;
        private Cancellable timer = Cancellable.NOTHING;

        private HeldRequest(Runnable goesOn) {
            this.action = goesOn;
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
        timers.after(MAXIMUM_STARTUP, this::end);
    }

    boolean isEnded() {
        return ended;
    }

    /** Holds a request back; it goes on when the start is over, or its time for waiting is. */
    Cancellable hold(Duration patience, Runnable goesOn) {
        HeldRequest added = new HeldRequest(goesOn);
        held.add(added);
        Duration part = patience.dividedBy(CALLER_TIMEOUT_DIVISOR);
        added.timer = timers.after(part.compareTo(MAXIMUM_HOLD) < 0 ? part : MAXIMUM_HOLD, added::release);
        return added;
    }

    /** Lets all requests go on, the first that came first, and holds none from now on. */
    void end() {
        ended = true;
        List.copyOf(held).forEach(HeldRequest::release);
    }
}
