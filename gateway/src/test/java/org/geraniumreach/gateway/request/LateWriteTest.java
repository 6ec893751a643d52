package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Writes that would come after their request has ended, of which no timer and no close has told yet. */
class LateWriteTest {

    private static final Duration JUST_LATE = RequestHarness.TIMEOUT.plusMillis(1);

    private final RequestHarness world = new RequestHarness();

    private RecordedAnswer sendWhileConnecting(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 3).addTarget("a").addTarget("b");
        world.targets().setConnecting(false);
        return world.send();
    }

    /** Guards against work at targets for which no time is left, since a connection opens late and the timer is later still. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestIsNotWrittenOnAConnectionThatOpensAfterItsTime(RetryPolicy retryPolicy) {
        RecordedAnswer answer = sendWhileConnecting(retryPolicy);
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        world.time().stall(JUST_LATE);
        sent.connect();
        assertThat(sent.isWritten()).isFalse();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.openExchanges()).isZero();
        assertThat(world.loggedEvents()).contains("WRITE_OMITTED TIME_UP");
    }

    /** Guards against targets that are told the time that was left when their connection was asked for. */
    @Test
    void aTargetIsToldWhatIsLeftWhenTheRequestIsWritten() {
        sendWhileConnecting(RetryPolicy.IDEMPOTENT);
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        Duration connectTime = Duration.ofMillis(300);
        world.time().stall(connectTime);
        sent.connect();
        assertThat(sent.metadata().remainingTime().get()).isEqualTo(RequestHarness.TIMEOUT.minus(connectTime));
    }

    /** Guards against work at targets for callers whose close is still to be read when the connection opens. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestIsNotWrittenOnceItsCallerHasClosed(RetryPolicy retryPolicy) {
        RecordedAnswer answer = sendWhileConnecting(retryPolicy);
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        answer.leaveUnread();
        sent.connect();
        assertThat(sent.isWritten()).isFalse();
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.openExchanges()).isZero();
        assertThat(world.loggedEvents()).contains("WRITE_OMITTED CALLER_GONE");
    }

    /** Guards against retries for callers that have left while the first target had the request. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRejectedRequestIsNotWrittenElsewhereOnceItsCallerHasClosed(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 3).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        answer.leaveUnread();
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(world.targets().sentRequests().stream().filter(FakeTargets.SentRequest::isWritten))
                .hasSize(1);
        assertThat(world.openExchanges()).isZero();
        assertThat(answer.isEnded()).isFalse();
    }

    /** Guards against a request that draws on its account's rate, or waits, though its time was up before it was read. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestWhoseTimeWasUpBeforeItWasReadIsRefusedAtOnce(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 3).addTarget("a");
        RecordedAnswer answer = world.sendAfterWait(JUST_LATE);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(world.targets().sentRequests()).isEmpty();
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against an answer that comes as much later than the route's timeout as its request has waited unread. */
    @Test
    void aRequestThatHasWaitedUnreadEndsWhenItsTimeIsUp() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 1).addTarget("a");
        Duration left = Duration.ofSeconds(1);
        RecordedAnswer answer = world.sendAfterWait(RequestHarness.TIMEOUT.minus(left));
        world.time().advance(left.minusMillis(1));
        assertThat(answer.isEnded()).isFalse();
        world.time().advance(Duration.ofMillis(2));
        assertThat(answer.status()).isEqualTo(504);
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against answers that come later still after a pause, since new requests are begun before the timers of those that are over. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestWhoseTimeIsUpIsAnsweredBeforeANewOneIsBegun(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 3).addTarget("a");
        RecordedAnswer over = world.send();
        world.time().stall(JUST_LATE);
        RecordedAnswer next = world.send();
        assertThat(over.status()).isEqualTo(504);
        assertThat(over.isComplete()).isTrue();
        assertThat(next.isEnded()).isFalse();
        assertThat(world.openExchanges()).isEqualTo(1);
    }

    /** Guards against requests that wait for the start of an entry although their time has passed since they came. */
    @Test
    void aRequestWhoseTimeIsUpDoesNotWaitForTheStart() {
        RecordedAnswer answer = world.sendAfterWait(JUST_LATE);
        world.time().advance(Duration.ofMillis(1));
        assertThat(answer.isEnded()).isTrue();
        assertThat(Optional.of(answer.status())).contains(503);
    }
}
