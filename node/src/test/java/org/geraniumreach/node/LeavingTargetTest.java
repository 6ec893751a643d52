package org.geraniumreach.node;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs entries before targets that leave, while their answers or their rows still say otherwise. */
class LeavingTargetTest {

    private static final int ENTRIES = 2;
    private static final int REQUESTS_PER_SECOND = 30;

    /** By then each entry has relayed an answer of the leaving target, and the time for which it still takes requests is over. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(3_500);

    /** Requests may still reach a target for this time after it has left. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);

    private static final Duration EXPIRY_TIME = Duration.ofMillis(3_600);

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

    /** Guards against heartbeats that were on their way when the row was removed, and bring the target back into use. */
    @ParameterizedTest
    @CsvSource({"false, 2, 400", "false, 3, 800", "true, 3, 500"})
    void lateHeartbeatsDoNotBringATargetBack(boolean drains, int count, int intervalMillis) throws Exception {
        String path = "/book/x";
        platform.addTarget("one", "plain");
        platform.addTarget("two", "plain");
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady(path);
        fleet.sendFor(Duration.ofSeconds(1), REQUESTS_PER_SECOND, path);
        FakePlatform.FakeTarget leaving = platform.busiestTarget();
        long left = System.nanoTime();
        if (drains) {
            leaving.drain();
            fleet.sendFor(Duration.ofSeconds(1), REQUESTS_PER_SECOND, path);
        }
        leaving.removeRow();
        for (int heartbeat = 0; heartbeat < count; heartbeat++) {
            fleet.sendFor(Duration.ofMillis(intervalMillis), REQUESTS_PER_SECOND, path);
            leaving.writeHeartbeat();
        }
        fleet.sendFor(EXPIRY_TIME, REQUESTS_PER_SECOND, path);
        assertThat(leaving.arrivals())
                .filteredOn(FakePlatform.Arrival::isRequest)
                .noneMatch(arrival -> arrival.nanos() - left > DRAIN_LIMIT.toNanos());
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).containsOnly(200);
    }
}
