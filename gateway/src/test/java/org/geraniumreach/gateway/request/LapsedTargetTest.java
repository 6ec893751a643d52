package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;

import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests to targets that stand still for so long that their rows are removed, and then go on. */
class LapsedTargetTest {

    private static final String FIRST_EVENT = "id: 1\ndata: x\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: y\n\n";
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1_200);

    private static Stream<Arguments> answers() {
        return Stream.of(RetryPolicy.values()).flatMap(policy -> Stream.of(false, true)
                .flatMap(begun -> Stream.of(0.0, 100.0).map(retryRatio -> Arguments.of(policy, begun, retryRatio))));
    }

    /** Guards against an answer that ends since the row of its target, which goes on, has lapsed. */
    @ParameterizedTest
    @MethodSource("answers")
    void answerOfATargetWhoseRowHasLapsedIsPassedOn(RetryPolicy policy, boolean begun, double retryRatio) {
        RequestHarness world = new RequestHarness(retryRatio);
        world.startWithRoute(policy, 3).addTarget("a");
        RecordedAnswer answer = world.send();
        SentRequest sent = world.targets().lastRequest();
        if (begun) {
            begin(sent, policy);
        }
        world.time().advance(Duration.ofSeconds(3));
        world.registry().onRowRemoved(TargetId.of("a"));
        assertThat(world.registry().all()).isEmpty();
        world.time().advance(Duration.ofMillis(500));
        returnRow(world);
        if (!begun) {
            begin(sent, policy);
        }
        for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
            world.time().advance(HEARTBEAT_INTERVAL);
            returnRow(world);
        }
        assertThat(world.registry().all()).hasSize(1);
        sent.answerPart(SECOND_EVENT);
        sent.endAnswer();
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.text()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.openExchanges()).isZero();
    }

    private static void begin(SentRequest sent, RetryPolicy policy) {
        sent.answerHead(200, policy.isStream());
        sent.answerPart(FIRST_EVENT);
    }

    private static void returnRow(RequestHarness world) {
        world.addTarget("a", 1, SoftwareVersion.of("v1"), Map.of());
    }
}
