package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryDrainTest {

    private static final Duration LIMIT = Duration.ofSeconds(8);

    /** Guards against a process that ends while a request which came during the release of its lease is open. */
    @Test
    void requestArrivingDuringLeaseReleaseIsAnsweredBeforeDrainReturns() {
        List<String> events = new ArrayList<>();
        AtomicInteger open = new AtomicInteger();
        MonotonicClock fast = new MonotonicClock() {
            private final long begunAt = System.nanoTime();

            @Override
            public long nanos() {
                return (System.nanoTime() - begunAt) * 20;
            }
        };
        EntryDrain drain = new EntryDrain(
                () -> {
                    int now = open.get();
                    if (now > 0) {
                        events.add("answered");
                        open.decrementAndGet();
                    }
                    return now;
                },
                released -> {
                    events.add("released");
                    open.incrementAndGet();
                    released.run();
                },
                LIMIT,
                fast);
        drain.run(longest -> events.add("began"), () -> events.add("closed"), answered -> assertThat(answered)
                .isTrue());
        assertThat(events).containsExactly("began", "closed", "released", "answered");
        assertThat(open).hasValue(0);
    }
}
