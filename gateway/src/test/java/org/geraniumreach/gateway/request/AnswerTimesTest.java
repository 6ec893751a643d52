package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerTimesTest {

    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final Route ROUTE = new Route(
            "route",
            "host",
            "/x/",
            List.of(new Route.Destination("service", 1)),
            RetryPolicy.AT_MOST_ONCE_STREAM,
            LIMIT,
            Duration.ofSeconds(1),
            1,
            0,
            false);

    private final AnswerTimes times = new AnswerTimes();

    private static Optional<GatewayRequest.Generation> tokens(long maximum) {
        return Optional.of(new GatewayRequest.Generation(
                "model", Optional.empty(), 100, maximum, OptionalLong.empty(), List.of()));
    }

    private void record(int count, long tokens, long firstPartMillis, long totalMillis) {
        for (int number = 0; number < count; number++) {
            times.record(
                    ROUTE,
                    tokens(tokens),
                    Optional.of(Duration.ofMillis(firstPartMillis)),
                    Duration.ofMillis(totalMillis));
        }
    }

    /** Guards against requests that are taken for short ones on the evidence of a few others. */
    @Test
    void theLimitIsTheEstimateUntilEnoughRequestsHaveEnded() {
        record(AnswerTimes.MINIMUM_REQUESTS - 1, 100, 100, 1_100);
        assertThat(times.estimate(ROUTE, tokens(100), LIMIT)).isEqualTo(LIMIT);
        record(1, 100, 100, 1_100);
        assertThat(times.estimate(ROUTE, tokens(100), LIMIT)).isLessThan(LIMIT);
    }

    @ParameterizedTest
    @CsvSource({"100, 1100", "400, 4100", "10, 200", "10000, 20000"})
    void theEstimateGrowsWithTheTokensUpToTheLimit(long tokens, long expectedMillis) {
        record(AnswerTimes.MINIMUM_REQUESTS, 100, 100, 1_100);
        assertThat(times.estimate(ROUTE, tokens(tokens), LIMIT)).isEqualTo(Duration.ofMillis(expectedMillis));
    }

    /** Guards against requests that are taken for as fast as most, although some of the recent ones were slow. */
    @ParameterizedTest
    @CsvSource({"0, 100", "9, 100", "11, 4000"})
    void oneOfTwentySlowRequestsCounts(int slow, long expectedMillis) {
        record(200 - slow, 1, 100, 100);
        record(slow, 1, 4_000, 4_000);
        assertThat(times.estimate(ROUTE, tokens(1), LIMIT)).isEqualTo(Duration.ofMillis(expectedMillis));
        record(200, 1, 100, 100);
        assertThat(times.estimate(ROUTE, tokens(1), LIMIT)).isEqualTo(Duration.ofMillis(100));
    }

    /** Guards against requests whose callers left early, or that were rejected, and that count as fast. */
    @ParameterizedTest
    @CsvSource({"10, 1100", "1100, 1100", "5000, 5000"})
    void anIncompleteRequestCountsOnlyIfItHasTakenLongerThanEstimated(long millis, long expectedMillis) {
        record(AnswerTimes.MINIMUM_REQUESTS, 1, 1_100, 1_100);
        for (int number = 0; number < 200; number++) {
            times.recordIncomplete(ROUTE, tokens(1), Optional.empty(), Duration.ofMillis(millis));
        }
        assertThat(times.estimate(ROUTE, tokens(1), LIMIT)).isEqualTo(Duration.ofMillis(expectedMillis));
    }

    /** Guards against requests that ended without any part of an answer and count as fast. */
    @Test
    void aRequestWithoutAnAnswerCountsWithItsWholeTime() {
        for (int number = 0; number < AnswerTimes.MINIMUM_REQUESTS; number++) {
            times.record(ROUTE, tokens(1), Optional.empty(), Duration.ofSeconds(3));
        }
        assertThat(times.estimate(ROUTE, tokens(1), LIMIT)).isEqualTo(Duration.ofSeconds(3));
    }
}
