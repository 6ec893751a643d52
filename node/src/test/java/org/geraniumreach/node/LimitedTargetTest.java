package org.geraniumreach.node;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs entries before targets that name the requests a second that they take from all entries together. */
class LimitedTargetTest {

    private static final int ENTRIES = 3;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** By then each entry has relayed an answer that names the limit. */
    private static final Duration LEARNING_TIME = Duration.ofMillis(1_500);

    /** Far below the time that callers wait. */
    private static final Duration REJECTION_TIME = Duration.ofMillis(800);

    /** Callers leave a stream that has not begun by then. */
    private static final Duration CALLERS_LEAVE_AFTER = Duration.ofSeconds(2);

    /** Half as much again as the limit, and five requests more, in four seconds. */
    private static final int ALLOWED_AT_TWO_A_SECOND = 17;

    /** Heartbeats are written every 1.2 s and read within 0.8 s. */
    private static final Duration HEARTBEAT_DELAY = Duration.ofSeconds(2);

    /** Half of what two targets that take two requests a second answer in four seconds. */
    private static final int SERVED_IN_WINDOW = 8;

    private final FakePlatform platform;

    LimitedTargetTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private static int maximumInWindow(List<FakePlatform.Arrival> arrivals, long from) {
        List<Long> times = arrivals.stream()
                .map(FakePlatform.Arrival::nanos)
                .filter(nanos -> nanos >= from)
                .sorted()
                .toList();
        int maximum = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW.toNanos()) {
                first++;
            }
            maximum = Math.max(maximum, last - first + 1);
        }
        return maximum;
    }

    /** Guards against each entry sending on to a target that has named a limit for all entries together. */
    @ParameterizedTest
    @CsvSource({"engines, /chat/x, 1.0, 11", "plain, /book/x, 1.7, 15"})
    void allEntriesTogetherKeepToTheNamedLimit(String service, String path, String limit, int allowed)
            throws Exception {
        platform.addTarget("one", service);
        platform.addTarget("two", service);
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady(path);
        FakePlatform.FakeTarget limited = platform.busiestTarget();
        limited.behave(FakePlatform.Behavior.healthyWith("Server-Limit", limit));
        fleet.sendFor(LEARNING_TIME, REQUESTS_PER_SECOND, path);
        long limitKnownAt = System.nanoTime();
        fleet.sendFor(Duration.ofSeconds(6), REQUESTS_PER_SECOND, path);
        assertThat(maximumInWindow(limited.arrivals(), limitKnownAt)).isBetween(1, allowed);
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).containsOnly(200);
    }

    /** Guards against requests that are sent within the limit, but arrive together when a paused target wakes. */
    @ParameterizedTest
    @ValueSource(ints = {5, 20})
    void requestsThatArriveWhenALimitedTargetWakesKeepToTheLimit(int callerTimeoutSeconds) throws Exception {
        List<PausableRelay> relays = addLimitedTargetsBehindRelays();
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady("/chat/x");
        fleet.setCallerTimeout(Duration.ofSeconds(callerTimeoutSeconds));
        fleet.sendFor(LEARNING_TIME, REQUESTS_PER_SECOND, "/chat/x");
        long limitKnownAt = System.nanoTime();
        relays.forEach(PausableRelay::pause);
        fleet.sendFor(Duration.ofSeconds(12), REQUESTS_PER_SECOND, "/chat/x");
        relays.forEach(PausableRelay::resume);
        fleet.sendFor(WINDOW, REQUESTS_PER_SECOND, "/chat/x");
        for (FakePlatform.FakeTarget target : platform.targets()) {
            int arrived = maximumInWindow(target.arrivals(), limitKnownAt);
            System.out.printf("%d calls arrived in a window, %d are allowed%n", arrived, ALLOWED_AT_TWO_A_SECOND);
            assertThat(arrived).isBetween(1, ALLOWED_AT_TWO_A_SECOND);
        }
        for (PausableRelay relay : relays) {
            relay.close();
        }
    }

    private List<PausableRelay> addLimitedTargetsBehindRelays() throws IOException {
        platform.addTarget("one", "engines");
        platform.addTarget("two", "engines");
        List<PausableRelay> relays = new ArrayList<>();
        for (FakePlatform.FakeTarget target : platform.targets()) {
            PausableRelay relay = new PausableRelay(target.address());
            relays.add(relay);
            target.reachThrough(relay.address());
            target.behave(FakePlatform.Behavior.healthyWith("Server-Limit", "2"));
        }
        return relays;
    }

    /** Guards against limited targets that are not used for a minute after a pause, since the requests of the pause might still arrive. */
    @Test
    void limitedTargetsAreUsedAgainSoonAfterAPause() throws Exception {
        List<PausableRelay> relays = addLimitedTargetsBehindRelays();
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady("/chat/x");
        fleet.sendFor(LEARNING_TIME, REQUESTS_PER_SECOND, "/chat/x");
        relays.forEach(PausableRelay::pause);
        fleet.sendFor(Duration.ofSeconds(12), REQUESTS_PER_SECOND, "/chat/x");
        relays.forEach(PausableRelay::resume);
        platform.targets().forEach(FakePlatform.FakeTarget::writeHeartbeat);
        fleet.sendFor(HEARTBEAT_DELAY, REQUESTS_PER_SECOND, "/chat/x");
        fleet.results().clear();
        fleet.sendFor(WINDOW, REQUESTS_PER_SECOND, "/chat/x");
        long served = fleet.results().stream()
                .filter(result -> result.status() == 200)
                .count();
        System.out.printf("%d requests were served in a window after the pause%n", served);
        assertThat(served).isGreaterThanOrEqualTo(SERVED_IN_WINDOW);
        for (PausableRelay relay : relays) {
            relay.close();
        }
    }

    /** Guards against callers who wait in vain where no target can take them, and who are not told when to return. */
    @ParameterizedTest
    @CsvSource({"engines, /chat/x", "plain, /book/x"})
    void callersAreRejectedAtOnceWithATimeToReturnIfAllTargetsAreLimited(String service, String path) throws Exception {
        FakePlatform.FakeTarget one = platform.addTarget("one", service);
        FakePlatform.FakeTarget two = platform.addTarget("two", service);
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady(path);
        one.behave(FakePlatform.Behavior.healthyWith("Server-Limit", "2"));
        two.behave(FakePlatform.Behavior.healthyWith("Server-Limit", "2"));
        fleet.sendFor(LEARNING_TIME, REQUESTS_PER_SECOND, path);
        fleet.results().clear();
        fleet.sendFor(Duration.ofSeconds(5), REQUESTS_PER_SECOND, path);
        List<FakeFleet.Result> rejected = fleet.results().stream()
                .filter(result -> result.status() != 200)
                .toList();
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).contains(200);
        assertThat(rejected).extracting(FakeFleet.Result::status).containsOnly(503);
        assertThat(rejected).extracting(FakeFleet.Result::retryAfter).doesNotContain("");
        assertThat(rejected)
                .extracting(FakeFleet.Result::elapsed)
                .allMatch(elapsed -> elapsed.compareTo(REJECTION_TIME) < 0);
    }

    /** Guards against callers who wait for the load of an adapter at targets that then have no request left for them. */
    @Test
    void callersWhoseAdapterIsNotLoadedAreServedOrRejectedSoonIfAllTargetsAreLimited() throws Exception {
        List<FakePlatform.FakeTarget> targets = new ArrayList<>();
        for (int number = 0; number < ENTRIES; number++) {
            targets.add(platform.addTarget("target-" + number, "engines"));
        }
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady("/chat/x");
        targets.forEach(target -> target.behave(FakePlatform.Behavior.healthyWith("Server-Limit", "2")));
        fleet.sendFor(LEARNING_TIME, REQUESTS_PER_SECOND, "/chat/x");
        fleet.setAdapterCount(6);
        fleet.sendFor(Duration.ofSeconds(3), REQUESTS_PER_SECOND, "/chat/x");
        fleet.results().clear();
        fleet.sendFor(Duration.ofSeconds(6), REQUESTS_PER_SECOND, "/chat/x");
        Map<Integer, Long> counts = fleet.results().stream()
                .collect(Collectors.groupingBy(FakeFleet.Result::status, Collectors.counting()));
        assertThat(counts.keySet()).containsExactlyInAnyOrder(200, 503);
        // The targets take 36 requests in this time, and nearly all adapters are loaded by then.
        assertThat(counts.get(200)).isGreaterThanOrEqualTo(24);
        assertThat(fleet.results())
                .extracting(FakeFleet.Result::elapsed)
                .allMatch(elapsed -> elapsed.compareTo(CALLERS_LEAVE_AFTER) < 0);
    }
}
