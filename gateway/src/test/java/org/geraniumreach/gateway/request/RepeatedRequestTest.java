package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests again under the id of an earlier one. */
class RepeatedRequestTest {

    private final RequestHarness world = new RequestHarness();

    /** What has become of the first request. */
    private enum First {
        OPEN(sent -> {}),
        FAILED(sent -> sent.fail(true)),
        ANSWERED(sent -> {
            sent.answerHead(200, false);
            sent.answerPart("done");
            sent.endAnswer();
        });

        private final Consumer<SentRequest> end;

        First(Consumer<SentRequest> end) {
            this.end = end;
        }
    }

    private void start(RetryPolicy policy) {
        world.startWithRoute(policy, 1).addTarget("a").addTarget("b");
    }

    /** Guards against a request that runs twice since it comes twice. */
    @ParameterizedTest
    @EnumSource
    void aSingleRunRequestThatMayHaveRunIsNotRunAgain(First first) {
        start(RetryPolicy.AT_MOST_ONCE);
        world.send(RequestHarness.KEY, "r1");
        first.end.accept(world.targets().lastRequest());
        RecordedAnswer second = world.send(RequestHarness.KEY, "r1");
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(second.status()).isEqualTo(502);
    }

    /** Guards against a caller that is kept from coming back though its request has not run. */
    @Test
    void aSingleRunRequestThatWasRefusedMayComeAgain() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer first = world.send(RequestHarness.KEY, "r1");
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        world.time().advance(RequestHarness.TIMEOUT);
        assertThat(first.status()).isEqualTo(503);
        world.addTarget("b");
        world.send(RequestHarness.KEY, "r1");
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    /** Guards against a request that is refused for that of another account, or for one whose time is over. */
    @Test
    void anIdIsKnownForItsAccountUntilItsTimeIsUp() {
        start(RetryPolicy.AT_MOST_ONCE);
        world.send(RequestHarness.KEY, "r1");
        world.send(RequestHarness.URGENT_KEY, "r1");
        assertThat(world.targets().sentRequests()).hasSize(2);
        world.time().advance(RequestHarness.TIMEOUT.plus(Duration.ofMillis(1)));
        world.send(RequestHarness.KEY, "r1");
        assertThat(world.targets().sentRequests()).hasSize(3);
    }

    /** Guards against requests that may run again and are refused for their id. */
    @Test
    void anIdempotentRequestMayComeAgain() {
        start(RetryPolicy.IDEMPOTENT);
        world.send(RequestHarness.KEY, "r1");
        world.send(RequestHarness.KEY, "r1");
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against memory that grows with the number of requests. */
    @Test
    void noMoreRequestsAreKnownThanTheMaximum() {
        SingleRunRequests requests = new SingleRunRequests(world.time());
        for (int number = 0; number < SingleRunRequests.MAXIMUM + 10; number++) {
            assertThat(requests.tryBegin(Optional.empty(), "r" + number, Duration.ofSeconds(1)))
                    .isTrue();
        }
        assertThat(requests.size()).isEqualTo(SingleRunRequests.MAXIMUM);
        world.time().advance(Duration.ofSeconds(1));
        requests.tryBegin(Optional.empty(), "last", Duration.ofSeconds(1));
        assertThat(requests.size()).isEqualTo(1);
    }
}
