package org.geraniumreach.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that are open when their entry exits. */
class ExitingEntryTest {

    private final RequestHarness world = new RequestHarness();

    @AfterEach
    void nothingIsLeftOpen() {
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against the reset of a request that waits in its entry and could be served by another one. */
    @Test
    void aRequestThatIsHeldIsRefusedAsNotRun() {
        world.configure(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.endOpenRequests();
        assertRefused(answer);
        world.start();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against the reset of a request that waits for its turn at a target, and against sending it later. */
    @Test
    void aRequestThatWaitsForATargetIsRefusedAsNotRun() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a", Map.of("base", Map.of("a7", 1L)));
        world.setTargetAdmission((target, promptTokens, maxDelay, callback) -> Cancellable.NOOP);
        RecordedAnswer answer = world.send(Optional.of(
                new GatewayRequest.Generation("base", Optional.of(new AdapterName("base", "a7")), 10, 10, List.of())));
        assertThat(answer.isEnded()).isFalse();
        world.endOpenRequests();
        assertRefused(answer);
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    private void assertRefused(RecordedAnswer answer) {
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.loggedFields(EventCode.REQUEST_REFUSED)).hasSize(1);
    }

    /** Guards against "not run" for a request that its target may have run, and against a part of an error that looks whole. */
    @ParameterizedTest
    @EnumSource(
            value = RetryPolicy.class,
            names = {"AT_MOST_ONCE", "IDEMPOTENT"})
    void aRequestThatRunsHasAnUnknownOutcome(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().answerHead(500, false);
        world.targets().lastRequest().answerPart("half of the err");
        world.endOpenRequests();
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.text()).doesNotContain("half");
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.targets().lastRequest().isCancelled()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.loggedFields(EventCode.OUTCOME_UNKNOWN)).hasSize(1);
    }

    /** Guards against a stream that ends as if it were complete, and against one that ends without a line. */
    @Test
    void aStreamThatHasBegunIsAborted() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = BegunStream.start(world).answer();
        world.endOpenRequests();
        assertThat(answer.isAborted()).isTrue();
        assertThat(world.targets().lastRequest().isCancelled()).isTrue();
        assertThat(world.loggedFields(EventCode.REQUEST_FAILED)).hasSize(1);
    }

    /** Guards against a request whose caller leaves while it is held, and that no line names. */
    @Test
    void aCallerThatLeavesWhileItsRequestIsHeldIsLogged() {
        world.configure(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        world.receive(new RecordedAnswer(), "key", Optional.empty()).cancel();
        assertThat(world.loggedFields(EventCode.CALLER_GONE)).hasSize(1);
        world.start();
        assertThat(world.targets().sentRequests()).isEmpty();
    }
}
