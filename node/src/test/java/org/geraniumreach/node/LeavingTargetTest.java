package org.geraniumreach.node;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs entries before targets that say in their answers that they leave, while their rows still say that they are ready. */
class LeavingTargetTest {

    private static final int ENTRIES = 2;
    private static final int REQUESTS_PER_SECOND = 30;

    /** By then each entry has relayed an answer of the leaving target, and the time for which it still takes requests is over. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(3_500);

    private final FakePlatform platform;

    LeavingTargetTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    /** Guards against an entry that waits for the store to learn what the target itself has told it. */
    @ParameterizedTest
    @CsvSource({"engines, /chat/x", "plain, /book/x"})
    void noRequestReachesATargetThatHasSaidThatItLeaves(String service, String path) throws Exception {
        platform.addTarget("one", service);
        platform.addTarget("two", service);
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady(path);
        FakePlatform.FakeTarget leaving = platform.busiestTarget();
        leaving.behave(FakePlatform.Behavior.healthyWith("Server-Leaving", "1"));
        fleet.sendFor(DRAIN_TIME, REQUESTS_PER_SECOND, path);
        long drained = System.nanoTime();
        fleet.sendFor(Duration.ofSeconds(2), REQUESTS_PER_SECOND, path);
        assertThat(leaving.arrivals()).noneMatch(arrival -> arrival.isRequest() && arrival.nanos() > drained);
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).containsOnly(200);
    }
}
