package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LoopDelayMonitorTest {

    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final VirtualTime time = new VirtualTime();
    private final AtomicLong collectionMillis = new AtomicLong(70);
    private final AtomicLong processorNanos = new AtomicLong(9_000_000);
    private final List<String> lines = new ArrayList<>();
    private final LoopDelayMonitor monitor = new LoopDelayMonitor(
            INTERVAL,
            collectionMillis::get,
            processorNanos::get,
            time,
            (event, subject, fields) -> lines.add(event + Arrays.toString(fields)));

    /** Guards against timers that come late without a trace of why. */
    @ParameterizedTest
    @CsvSource({"100, 0", "101, 1", "600, 1"})
    void aLateTimerIsLoggedWithWhatTheProcessDid(long delayMillis, int count) {
        monitor.onTimer();
        collectionMillis.addAndGet(30);
        processorNanos.addAndGet(40_000_000);
        time.advance(INTERVAL.plusMillis(delayMillis));
        monitor.onTimer();
        assertThat(lines).hasSize(count).allSatisfy(line -> assertThat(line)
                .startsWith(EventCode.LOOP_DELAYED.name())
                .contains(
                        "delayMillis", String.valueOf(delayMillis), "collectionMillis", "30", "processorMillis", "40"));
    }
}
