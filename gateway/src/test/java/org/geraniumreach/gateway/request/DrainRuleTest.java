package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class DrainRuleTest {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final GatewayRequest REQUEST = new GatewayRequest(
            "id",
            "GET",
            "/x/",
            "host",
            "/x/",
            Optional.empty(),
            List.of(),
            new byte[0],
            Duration.ofSeconds(15),
            Optional.empty(),
            OptionalLong.empty(),
            Optional.empty());

    @ParameterizedTest
    @CsvSource({
        "0, 6800, true",
        "0, 6801, false",
        "0, 15000, false",
        "2400, 15000, false",
        "2400, 4400, true",
        "2600, 1500, true",
        "5300, 1500, true",
        "5500, 1500, false"
    })
    void aRequestIsAdmittedOnlyIfItMustEndBeforeTheExit(long elapsedMillis, long maximumMillis, boolean admitted) {
        DrainRule rule = DrainRule.of(0, Duration.ofMillis(7_000));
        Duration maximum = Duration.ofMillis(maximumMillis);
        assertThat(rule.admits(maximum, maximum, elapsedMillis * NANOS_PER_MILLI))
                .isEqualTo(admitted);
    }

    /** Guards against requests that are sent late in a drain since most of their route are short, and are cut off at the exit. */
    @ParameterizedTest
    @CsvSource({
        "0, 15000, true",
        "2400, 15000, true",
        "2500, 15000, false",
        "3400, 15000, false",
        "3400, 3500, false",
        "3400, 3400, true",
        "6300, 15000, false",
        "6300, 400, true"
    })
    void aRequestThatIsOnlyExpectedToEndIsRefusedOnceCallersReachOtherEntries(
            long elapsedMillis, long limitMillis, boolean admitted) {
        VirtualTime time = new VirtualTime();
        DrainAdmission drain = new DrainAdmission(time, (event, subject, fields) -> {});
        Route route = new Route(
                "route",
                "host",
                "/x/",
                List.of(new Route.Destination("service", 1)),
                RetryPolicy.RESUMABLE_STREAM,
                Duration.ofSeconds(15),
                Duration.ofSeconds(1),
                1,
                0,
                false);
        for (int request = 0; request < AnswerTimes.MINIMUM_REQUESTS; request++) {
            drain.answerTimes().record(route, Optional.empty(), Optional.empty(), Duration.ofMillis(100));
        }
        drain.start(DrainRule.of(time.nanos(), Duration.ofSeconds(7)));
        time.advance(Duration.ofMillis(elapsedMillis));
        assertThat(drain.admits(REQUEST, route, Duration.ofMillis(limitMillis))).isEqualTo(admitted);
    }

    /** Guards against requests that are received just before the process exits and cut off by it. */
    @Test
    void aShortRequestIsRefusedAtOnceAfterClosing() {
        RequestHarness world =
                new RequestHarness().startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        world.drain(Duration.ofSeconds(7));
        world.close();
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    // If an entry admitted a long request late in its drain, over a connection that the caller keeps open, it would
    // exit before the target answers. Refused at once, the caller can use another entry.
    @Test
    void aLongRequestLateInADrainIsRefusedAsNotRun() {
        RequestHarness world =
                new RequestHarness().startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        world.drain(Duration.ofSeconds(7));
        world.time().advance(Duration.ofSeconds(6));
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against requests that are admitted too late in a drain of which a busy event loop has learnt late. */
    @Test
    void aDrainCountsFromTheSignalAndNotFromWhenTheEventLoopLearnsOfIt() {
        RequestHarness world =
                new RequestHarness().startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        world.drain(Duration.ofSeconds(7), Duration.ofMillis(6_900));
        assertThat(world.send().status()).isEqualTo(503);
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against a request that waits when the drain begins, and is sent though it may outlast the process. */
    @Test
    void aRequestThatWaitsForATargetIsRefusedWhenTheDrainBegins() {
        RequestHarness world = new RequestHarness()
                .startWithRoute(RetryPolicy.AT_MOST_ONCE, 1)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)));
        world.setTargetAdmission((target, promptTokens, maxDelay, callback) -> Cancellable.NOOP);
        RecordedAnswer answer = world.send(Optional.of(
                new GatewayRequest.Generation("base", Optional.of(new AdapterName("base", "a7")), 10, 10, List.of())));
        assertThat(answer.isEnded()).isFalse();
        world.drain(Duration.ofSeconds(1));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(world.openExchanges()).isZero();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against the refusal of a request that a target works on, when the drain begins. */
    @Test
    void aRequestThatIsAtATargetGoesOnWhenTheDrainBegins() {
        RequestHarness world =
                new RequestHarness().startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.drain(Duration.ofSeconds(1));
        assertThat(answer.isEnded()).isFalse();
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    /** Guards against callers that return before the load balancer has taken this entry out, and are refused by it again. */
    @ParameterizedTest
    @CsvSource({
        "0, 12000, false, 2.50",
        "1000, 12000, false, 1.50",
        "1000, 3000, false, 1.00",
        "2600, 12000, false, 0.10",
        "4000, 12000, true, 0.10"
    })
    void aRefusedCallerReturnsOnceItReachesAnotherEntry(
            long elapsedMillis, long limitMillis, boolean closed, String retryAfter) {
        VirtualTime time = new VirtualTime();
        DrainAdmission drain = new DrainAdmission(time, (event, subject, fields) -> {});
        drain.start(DrainRule.of(time.nanos(), Duration.ofSeconds(7)));
        time.advance(Duration.ofMillis(elapsedMillis));
        if (closed) {
            drain.start(DrainRule.closed(time.nanos()));
        }
        RecordedAnswer answer = new RecordedAnswer();
        drain.refusal(Duration.ofMillis(limitMillis)).send(answer);
        assertThat(answer.header("Retry-After")).contains(retryAfter);
    }
}
