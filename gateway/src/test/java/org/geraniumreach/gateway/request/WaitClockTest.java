package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitClockTest {

    private static final long MILLI = 1_000_000;

    private final WaitClock clock = new WaitClock();

    @Test
    void waitsAddUpByCause() {
        clock.startWait(WaitCause.RATE, 0);
        clock.startWait(WaitCause.ADAPTER, 100 * MILLI);
        clock.stopWait(350 * MILLI);
        clock.startWait(WaitCause.PREFILL_CAPACITY, 400 * MILLI);
        clock.startWait(WaitCause.ADAPTER, 440 * MILLI);
        assertThat(clock.snapshot(450 * MILLI))
                .isEqualTo(new Waits(Duration.ofMillis(100), Duration.ofMillis(260), Duration.ofMillis(40)));
        clock.stopWait(450 * MILLI);
        assertThat(clock.snapshot(500 * MILLI))
                .isEqualTo(new Waits(Duration.ofMillis(100), Duration.ofMillis(260), Duration.ofMillis(40)));
    }

    @Test
    void whatDoesNotWaitAddsNothing() {
        clock.stopWait(70 * MILLI);
        assertThat(clock.snapshot(90 * MILLI)).isEqualTo(new Waits(Duration.ZERO, Duration.ZERO, Duration.ZERO));
    }
}
