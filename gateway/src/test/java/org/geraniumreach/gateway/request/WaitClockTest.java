package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitClockTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final WaitClock clock = new WaitClock();

    @Test
    void waitsAreAccumulatedByCause() {
        clock.startWait(WaitCause.RATE, 0);
        clock.startWait(WaitCause.ADAPTER, 100 * NANOS_PER_MILLI);
        clock.stopWait(350 * NANOS_PER_MILLI);
        clock.startWait(WaitCause.READING, 360 * NANOS_PER_MILLI);
        clock.stopWait(390 * NANOS_PER_MILLI);
        clock.startWait(WaitCause.PREFILL_CAPACITY, 400 * NANOS_PER_MILLI);
        clock.startWait(WaitCause.ADAPTER, 440 * NANOS_PER_MILLI);
        assertThat(clock.snapshot(450 * NANOS_PER_MILLI))
                .isEqualTo(new Waits(
                        Duration.ofMillis(100),
                        Duration.ofMillis(30),
                        Duration.ofMillis(260),
                        Duration.ZERO,
                        Duration.ofMillis(40)));
        clock.stopWait(450 * NANOS_PER_MILLI);
        assertThat(clock.snapshot(500 * NANOS_PER_MILLI))
                .isEqualTo(new Waits(
                        Duration.ofMillis(100),
                        Duration.ofMillis(30),
                        Duration.ofMillis(260),
                        Duration.ZERO,
                        Duration.ofMillis(40)));
    }

    @Test
    void timeWithoutAWaitIsNotCounted() {
        clock.stopWait(70 * NANOS_PER_MILLI);
        assertThat(clock.snapshot(90 * NANOS_PER_MILLI))
                .isEqualTo(new Waits(Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO));
    }
}
