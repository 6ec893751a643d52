package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests once more after the failures of a target. */
class ExchangeRetryTest {

    private final RequestHarness world = new RequestHarness();

    private void fail(FailureCause cause) {
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        switch (cause) {
            case NOT_SENT -> sent.fail(false);
            case BROKEN -> sent.fail(true);
            case SILENT -> world.time().advance(RequestHarness.TIMEOUT.dividedBy(2));
            case REJECTED -> sent.answerNotExecuted(NotExecuted.SHED);
            case NOT_RESIDENT -> sent.answerNotExecuted(NotExecuted.NOT_RESIDENT);
            case ANOTHER_TARGET -> sent.answerNotExecuted(NotExecuted.ANOTHER_TARGET);
            case INVALID -> sent.answerNotExecuted(NotExecuted.INVALID);
            case SERVER_ERROR -> {
                sent.answerHead(500, false);
                sent.endAnswer();
            }
            default -> throw new IllegalArgumentException("unknown cause: " + cause);
        }
    }

    /** Guards against retries in the log whose cause cannot be told; for outdated versions see {@link OutdatedAttemptTest}. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NOT_SENT", "OUTDATED"})
    void aRetryIsLoggedWithTheCauseOfTheFailureBefore(FailureCause cause) {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 2).addTarget("a").addTarget("b");
        world.send();
        fail(cause);
        assertThat(world.loggedFields(EventCode.ATTEMPT_RETRIED))
                .singleElement()
                .satisfies(fields -> assertThat(fields)
                        .containsEntry("cause", cause)
                        .containsEntry("arrival", 2)
                        .containsEntry("windowRequests", 1));
    }

    /** Guards against first arrivals that use up retries, because a connection before them was not opened. */
    @Test
    void aRequestThatReachedNoTargetIsSentAgainWithoutARetry() {
        RequestHarness withoutRetries = new RequestHarness(0);
        withoutRetries
                .startWithRoute(RetryPolicy.AT_MOST_ONCE, 1)
                .addTarget("a")
                .addTarget("b")
                .addTarget("c");
        withoutRetries.send();
        withoutRetries.targets().lastRequest().fail(false);
        assertThat(withoutRetries.targets().sentRequests()).hasSize(2);
        assertThat(withoutRetries.loggedFields(EventCode.ATTEMPT_RETRIED)).isEmpty();
        withoutRetries.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(withoutRetries.targets().sentRequests()).hasSize(2);
        assertThat(withoutRetries.loggedFields(EventCode.RETRY_DENIED)).hasSize(1);
    }

    /** Guards against a burst of retries, also for callers who have gone, when an entry goes on after a suspension. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatHasArrivedDuringASuspensionIsReadBeforeARetry(boolean callerHasGone) {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable request = world.receive(answer, RequestHarness.KEY, Optional.empty());
        world.time().suspend(Duration.ofSeconds(6));
        if (callerHasGone) {
            request.cancel();
        } else {
            world.targets().lastRequest().answerHead(200, true);
            world.targets().lastRequest().answerPart("id: 1\ndata: x\n\n");
        }
        world.time().advance(Duration.ofSeconds(1));
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.targets().lastRequest().isCancelled()).isEqualTo(callerHasGone);
    }

    /** Guards against a target that stays silent for ever after a suspension of the entry. */
    @Test
    void aTargetThatIsStillSilentAfterASuspensionIsGivenUp() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        world.send();
        world.time().suspend(Duration.ofSeconds(6));
        world.time().advance(Duration.ofSeconds(1));
        assertThat(world.targets().sentRequests()).hasSize(2);
    }
}
