package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitClockTest {

    private static final long MILLI = 1_000_000;

    private final WaitClock clock = new WaitClock();

    @Test
    void waitsAddUpByCause() {
        clock.waitsFor(WaitCause.RATE, 0);
        clock.waitsFor(WaitCause.ADAPTER, 100 * MILLI);
        clock.goesOn(350 * MILLI);
        clock.waitsFor(WaitCause.ROOM, 400 * MILLI);
        clock.waitsFor(WaitCause.ADAPTER, 440 * MILLI);
        assertThat(clock.waits(450 * MILLI))
                .isEqualTo(new Waits(Duration.ofMillis(100), Duration.ofMillis(260), Duration.ofMillis(40)));
        clock.goesOn(450 * MILLI);
        assertThat(clock.waits(500 * MILLI))
                .isEqualTo(new Waits(Duration.ofMillis(100), Duration.ofMillis(260), Duration.ofMillis(40)));
    }

    @Test
    void whatDoesNotWaitAddsNothing() {
        clock.goesOn(70 * MILLI);
        assertThat(clock.waits(90 * MILLI)).isEqualTo(new Waits(Duration.ZERO, Duration.ZERO, Duration.ZERO));
    }
}
