package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OutputLengthsTest {

    private static final long MAXIMUM = 400;

    private final OutputLengths lengths = new OutputLengths();
    private final Route route = new Route(
            "route",
            "host",
            "/",
            List.of(new Route.Destination("service", 1)),
            RetryPolicy.RESUMABLE_STREAM,
            Duration.ofSeconds(10),
            Duration.ofMillis(800),
            2,
            0,
            false);

    private long expected(OptionalLong hint) {
        return lengths.expectedTokens(
                route,
                Optional.of(new GatewayRequest.Generation("base", Optional.empty(), 10, MAXIMUM, hint, List.of())));
    }

    /** Guards against requests that are held back for memory which requests of their route never use. */
    @Test
    void theMeanOfTheRouteIsExpectedOnceItIsKnown() {
        assertThat(expected(OptionalLong.empty())).isEqualTo(MAXIMUM);
        lengths.recordEvents(route, 25);
        assertThat(expected(OptionalLong.empty())).isEqualTo(100);
        for (int stream = 0; stream < 200; stream++) {
            lengths.recordEvents(route, 50);
        }
        assertThat(expected(OptionalLong.empty())).isEqualTo(200);
    }

    /** Guards against means of other requests, and hints, above what a request allows. */
    @Test
    void noMoreThanTheStatedMaximumIsExpected() {
        lengths.recordEvents(route, 1_000);
        assertThat(expected(OptionalLong.empty())).isEqualTo(MAXIMUM);
        assertThat(expected(OptionalLong.of(4_000))).isEqualTo(MAXIMUM);
        assertThat(expected(OptionalLong.of(40))).isEqualTo(40);
    }

    @Test
    void aRequestThatGeneratesNothingHasNoLength() {
        assertThat(lengths.expectedTokens(route, Optional.empty())).isZero();
    }
}
