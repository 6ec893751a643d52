package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Requests whose handling fails because of a fault of the entry. */
class FailingExchangeTest {

    private static final IllegalStateException FAULT = new IllegalStateException("a fault");

    private final RequestHarness world = new RequestHarness();

    @AfterEach
    void eachRequestHasEnded() {
        assertThat(world.openExchanges()).isZero();
        assertThat(world.loggedFields(EventCode.UNEXPECTED_FAILURE)).isNotEmpty();
    }

    /** Guards against a request without an outcome after a failure before it was sent. */
    @Test
    void aRequestThatCannotHaveBeenSentIsRefusedAsNotRun() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a", Map.of("base", Map.of("a7", 1L)));
        world.setTargetAdmission((target, promptTokens, maxDelay, callback) -> {
            throw FAULT;
        });
        RecordedAnswer answer = world.send(Optional.of(
                new GatewayRequest.Generation("base", Optional.of(new AdapterName("base", "a7")), 10, 10, List.of())));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against "not run" for a request that may have been sent when its handling failed. */
    @Test
    void aRequestThatMayHaveBeenSentHasAnUnknownOutcome() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        world.targets().failSends(FAULT);
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.isComplete()).isTrue();
    }

    /** Guards against a request that stays open for good because its deadline could not be handled. */
    @Test
    void aRequestWhoseDeadlineCannotBeHandledIsAborted() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.targets().failCancellations(FAULT);
        Duration timeout = world.route().timeout();
        assertThatThrownBy(() -> world.time().advance(timeout)).isSameAs(FAULT);
        assertThat(answer.isEnded()).isFalse();
        world.time().advance(Duration.ofMillis(200));
        assertThat(answer.isAborted()).isTrue();
    }
}
