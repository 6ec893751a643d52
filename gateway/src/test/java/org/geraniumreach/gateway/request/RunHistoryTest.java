package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RunHistoryTest {

    private final RequestHarness world = new RequestHarness();

    private RunHistory history(RetryPolicy policy, int maximumTargets) {
        world.startWithRoute(policy, maximumTargets).addTarget("a").addTarget("b");
        GatewayRequest request = new GatewayRequest(
                "request",
                "POST",
                "/book",
                "host",
                "/book",
                Optional.empty(),
                List.of(),
                new byte[0],
                Duration.ofSeconds(10),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty());
        ReceivedRequest received = new ReceivedRequest(
                request,
                Arrival.at(world.time().nanos()),
                new RecordedAnswer(),
                world.time().nanos());
        RoutedRequest routed = new RoutedRequest(received, world.route(), "service", Optional.empty(), 0, world.time());
        return new RunHistory(world.services(), routed, () -> false);
    }

    private Target target(String name) {
        return world.registry().find(TargetId.of(name)).orElseThrow();
    }

    /** Guards against a further write after a run that may have begun, whatever else decides on it before. */
    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE, 2, MAY_HAVE_RUN",
        "AT_MOST_ONCE_STREAM, 2, MAY_HAVE_RUN",
        "IDEMPOTENT, 2, MAY_RUN_AGAIN",
        "IDEMPOTENT, 1, TOO_MANY_TARGETS",
        "RESUMABLE_STREAM, 2, MAY_RUN_AGAIN"
    })
    void aFurtherWriteAfterARunIsDecidedByTheRoute(
            RetryPolicy policy, int maximumTargets, WriteDecision.Result expected) {
        RunHistory history = history(policy, maximumTargets);
        RunHistory.Run run = history.onSend(target("a"));
        run.onWritten(new ConnectionUse(1, 0));
        assertThat(history.decideWrite(target("b")).result()).isEqualTo(WriteDecision.Result.RUN_OPEN);
        run.onEnded();
        assertThat(history.decideWrite(target("b")).result()).isEqualTo(expected);
    }

    /** Guards against a rejection that permits a further write although another run may have begun. */
    @Test
    void aRejectionDoesNotHideAnEarlierRun() {
        RunHistory history = history(RetryPolicy.AT_MOST_ONCE, 1);
        RunHistory.Run first = history.onSend(target("a"));
        first.onWritten(new ConnectionUse(1, 0));
        first.onEnded();
        RunHistory.Run rejected = history.onSend(target("b"));
        rejected.onWritten(new ConnectionUse(1, 0));
        rejected.onNotExecuted();
        assertThat(history.decideWrite(target("a")).result()).isEqualTo(WriteDecision.Result.MAY_HAVE_RUN);
        assertThat(history.mayHaveRun()).isTrue();
    }
}
