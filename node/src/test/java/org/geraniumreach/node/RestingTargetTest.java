package org.geraniumreach.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs entries before targets that refuse requests and name the time for which they want nothing more. */
class RestingTargetTest {

    private static final int ENTRIES = 2;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final Duration REST = Duration.ofSeconds(3);

    /** The rule allows two requests between this time after the refusal and the end of the rest. */
    private static final Duration REACTION_TIME = Duration.ofMillis(500);

    private static final int ALLOWED = 2;

    private final FakePlatform platform;

    RestingTargetTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private static boolean isWithinRest(long refusedAt, long arrivedAt) {
        return arrivedAt - refusedAt >= REACTION_TIME.toNanos() && arrivedAt - refusedAt < REST.toNanos();
    }

    /** Guards against an entry that forgets, with the request that was refused, that the target wants rest. */
    @ParameterizedTest
    @CsvSource({"engines, /chat/x, 3", "plain, /book/x, 3.0"})
    void anEntryLeavesATargetAloneForTheTimeThatItAskedFor(String service, String path, String retryAfter)
            throws Exception {
        platform.addTarget("one", service);
        platform.addTarget("two", service);
        FakeFleet fleet = new FakeFleet(platform, ENTRIES);
        fleet.awaitReady(path);
        FakePlatform.FakeTarget resting = platform.busiestTarget();
        long start = System.nanoTime();
        resting.behave(new FakePlatform.Behavior(503, Map.of("Retry-After", retryAfter)));
        fleet.sendFor(Duration.ofSeconds(5), REQUESTS_PER_SECOND, path);
        Map<String, List<Long>> refusals = resting.arrivals().stream()
                .filter(arrival -> arrival.isRequest() && arrival.nanos() >= start)
                .collect(Collectors.groupingBy(
                        arrival -> arrival.requestId().orElseThrow().substring(0, "entry-0".length()),
                        Collectors.mapping(FakePlatform.Arrival::nanos, Collectors.toList())));
        assertThat(refusals).hasSize(ENTRIES);
        refusals.values().forEach(times -> {
            long first = times.get(0);
            assertThat(times.stream().filter(time -> isWithinRest(first, time))).hasSizeLessThanOrEqualTo(ALLOWED);
        });
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).containsOnly(200);
    }
}
