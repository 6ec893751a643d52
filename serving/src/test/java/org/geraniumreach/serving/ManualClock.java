package org.geraniumreach.serving;

import java.time.Duration;

import org.geraniumreach.model.MonotonicClock;

/** A clock that a test advances; confined to one thread. */
public final class ManualClock implements MonotonicClock {

    private long nanos;

    @Override
    public long nanos() {
        return nanos;
    }

    public void advance(Duration time) {
        nanos += time.toNanos();
    }
}
