package org.geraniumreach.httpserver;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.model.MonotonicClock;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Selects the connections that are ready, and bounds how long they have been.
 *
 * <p>Invariant: what is ready in one selection was not when the selection before it started, so its bytes arrived after that start.
 * Confined to the selector thread of one listener.
 */
final class ReadyConnections extends DefaultSelectorHandler {

    /** The longest time between the starts of two selections while nothing arrives; bytes may be taken for older by twice as much. */
    static final Duration RESOLUTION = Duration.ofMillis(20);

    private final MonotonicClock clock;
    private long selectionStart;
    private long readySince;
    private long selections;

    ReadyConnections(MonotonicClock clock) {
        super(RESOLUTION.toMillis(), TimeUnit.MILLISECONDS);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.selectionStart = clock.nanos();
        this.readySince = selectionStart;
    }

    /** Gets the earliest time at which what is ready now can have become so, in nanoseconds of the clock. */
    long readySince() {
        return readySince;
    }

    /** Gets the number of selections so far. */
    long selections() {
        return selections;
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        readySince = selectionStart;
        selectionStart = clock.nanos();
        selections++;
        return super.select(runner);
    }
}
