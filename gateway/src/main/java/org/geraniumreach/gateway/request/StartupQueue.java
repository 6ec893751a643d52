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
 * {@link #LONGEST} or a part of its caller's time; nothing is held after the start, nor by an entry whose start takes longer than
 * {@link #START}, since it cannot tell when that will end. Confined to the event loop.
 */
final class StartupQueue {

    private static final Duration LONGEST = Duration.ofMillis(800);

    private static final Duration START = Duration.ofSeconds(2);

    private static final int PART_OF_PATIENCE = 3;

    private final Timers timers;
    private final List<Held> held = new ArrayList<>();
    private boolean over;

    /** One request, which goes on by itself or is cancelled before. */
    private final class Held implements Cancellable {
        private final Runnable goesOn;
        private Cancellable timer = Cancellable.NOTHING;

        private Held(Runnable goesOn) {
            this.goesOn = goesOn;
        }

        private void goOn() {
            cancel();
            goesOn.run();
        }

        @Override
        public void cancel() {
            timer.cancel();
            held.remove(this);
        }
    }

    StartupQueue(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
        timers.after(START, this::end);
    }

    boolean isOver() {
        return over;
    }

    /** Holds a request back; it goes on when the start is over, or its time for waiting is. */
    Cancellable hold(Duration patience, Runnable goesOn) {
        Held added = new Held(goesOn);
        held.add(added);
        Duration part = patience.dividedBy(PART_OF_PATIENCE);
        added.timer = timers.after(part.compareTo(LONGEST) < 0 ? part : LONGEST, added::goOn);
        return added;
    }

    /** Lets all requests go on, the first that came first, and holds none from now on. */
    void end() {
        over = true;
        List.copyOf(held).forEach(Held::goOn);
    }
}
