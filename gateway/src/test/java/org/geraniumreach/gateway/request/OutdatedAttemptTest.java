package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that wait at targets for an adapter version that may no longer be used when they would begin. */
class OutdatedAttemptTest extends AdapterVersionTestCase {

    private static final Duration UNTIL_LOAD = LIMIT.minus(OutdatedAttempts.LOAD_MARGIN);
    private static final Duration UNTIL_END = LIMIT.minus(OutdatedAttempts.END_MARGIN);
    private static final Duration INSTANT = Duration.ofMillis(1);

    private void nameVersion(long version) {
        world.adapters().nameVersion(ADAPTER, version, world.time().nanos() + LIMIT.toNanos());
    }

    private void endGracePeriod(long version) {
        world.adapters().setVersions(version, version);
    }

    /** Guards against a stream that begins on the older version behind the bound, since nothing looks at it again once it is written. */
    @ParameterizedTest
    @ValueSource(longs = {-800, 0, 1_000, 2_400})
    void aStreamThatHasNotBegunGoesOnAtTheNewVersion(long writtenAfterMillis) {
        start(RetryPolicy.RESUMABLE_STREAM, "a", "b");
        if (writtenAfterMillis < 0) {
            send();
            world.time().advance(Duration.ofMillis(-writtenAfterMillis));
            nameVersion(2);
        } else {
            nameVersion(2);
            world.time().advance(Duration.ofMillis(writtenAfterMillis));
            send();
        }
        FakeTargets.SentRequest waiting = last();
        world.time().advance(LIMIT.minusMillis(Math.max(0, writtenAfterMillis) + 2_000));
        endGracePeriod(2);
        load("b", 2);
        world.time().advance(Duration.ofMillis(2_000));
        assertThat(waiting.isCancelled()).isTrue();
        assertThat(last().target().id()).isEqualTo(TargetId.of("b"));
        assertThat(last().metadata().version().get()).hasValue(2);
        assertThat(last().workingBeside()).isZero();
    }

    /** Guards against a request that is ended before its target has had its time to begin it. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestIsNotTakenBackBeforeTheBoundIsNear(RetryPolicy retryPolicy) {
        start(retryPolicy, "a");
        nameVersion(2);
        send();
        world.time().advance(Duration.ofMillis(500));
        assertThat(last().isOpen()).isTrue();
        assertThat(world.adapters().enqueuedLoads()).isEmpty();
    }

    /** Guards against a stream that runs once and begins on the older version; its caller learns that it may have run. */
    @Test
    void aStreamThatRunsOnceEndsWithAnUnknownOutcome() {
        start(RetryPolicy.AT_MOST_ONCE_STREAM, "a", "b");
        RecordedAnswer answer = send();
        nameVersion(2);
        world.time().advance(UNTIL_END.minus(INSTANT));
        assertThat(answer.isEnded()).isFalse();
        world.time().advance(INSTANT);
        assertThat(last().isCancelled()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.loggedFields(EventCode.ATTEMPT_FAILED)).singleElement().satisfies(fields -> assertThat(fields)
                .containsEntry("cause", FailureCause.OUTDATED));
        assertThat(world.loggedEvents().stream().filter(event -> event.startsWith("OUTCOME_UNKNOWN")))
                .hasSize(1);
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against retries in the log whose cause cannot be told. */
    @ParameterizedTest
    @EnumSource(
            value = RetryPolicy.class,
            names = {"IDEMPOTENT", "RESUMABLE_STREAM"})
    void theRetryIsLoggedWithItsCause(RetryPolicy retryPolicy) {
        Duration wait = Duration.ofMillis(1_200);
        start(retryPolicy, "a", "b");
        nameVersion(2);
        world.time().advance(UNTIL_END.minus(wait));
        send();
        load("a", 2);
        load("b", 2);
        world.time().advance(wait);
        assertThat(world.loggedFields(EventCode.ATTEMPT_RETRIED))
                .singleElement()
                .satisfies(fields -> assertThat(fields)
                        .containsEntry("cause", FailureCause.OUTDATED)
                        .containsEntry("arrival", 2)
                        .containsEntry("windowRequests", 1));
        assertThat(last().metadata().version().get()).hasValue(2);
    }

    /** Guards against breaking off plain answers that run once, which show nothing of their begin. */
    @Test
    void aPlainRequestThatRunsOnceIsLeftToItsTarget() {
        start(RetryPolicy.AT_MOST_ONCE, "a");
        send();
        nameVersion(2);
        world.time().advance(LIMIT);
        assertThat(last().isOpen()).isTrue();
    }

    /** Guards against breaking off streams that have begun in time. */
    @ParameterizedTest
    @EnumSource(
            value = RetryPolicy.class,
            names = {"RESUMABLE_STREAM", "AT_MOST_ONCE_STREAM"})
    void aStreamThatHasBegunGoesOn(RetryPolicy retryPolicy) {
        start(retryPolicy, "a", "b");
        send();
        nameVersion(2);
        world.time().advance(Duration.ofMillis(900));
        last().answerHead(200, true);
        last().answerPart("id: 1\ndata: x\n\n");
        for (int event = 2; event < 8; event++) {
            world.time().advance(Duration.ofMillis(800));
            last().answerPart("id: " + event + "\ndata: x\n\n");
        }
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(last().isOpen()).isTrue();
        assertThat(world.adapters().enqueuedLoads()).doesNotContain("a a7");
    }

    /** Guards against losing the work of a request that its target would hand back for nothing. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aTargetThatHasNotBegunIsAskedForTheNewVersionAndMayServeTheRequestThen(RetryPolicy retryPolicy) {
        start(retryPolicy, "a");
        RecordedAnswer answer = send();
        FakeTargets.SentRequest waiting = last();
        nameVersion(2);
        world.time().advance(Duration.ofMillis(1_900));
        assertThat(world.adapters().enqueuedLoads()).isEmpty();
        world.time().advance(UNTIL_LOAD.minusMillis(1_900));
        endGracePeriod(2);
        assertThat(world.adapters().enqueuedLoads()).contains("a a7");
        waiting.answerNotExecuted(NotExecuted.SHED);
        assertThat(answer.isEnded()).isFalse();
        load("a", 2);
        assertThat(last()).isNotSameAs(waiting);
        assertThat(last().metadata().version().get()).hasValue(2);
        world.time().advance(LIMIT.minus(UNTIL_LOAD));
        assertThat(last().isOpen()).isTrue();
    }

    /** Guards against taking back what waits at a target for the version that is in force. */
    @Test
    void ofThreeVersionsEachIsTakenBackAtItsOwnBound() {
        start(RetryPolicy.AT_MOST_ONCE_STREAM, "a", "b", "c");
        send();
        FakeTargets.SentRequest first = last();
        nameVersion(2);
        world.time().advance(Duration.ofMillis(1_500));
        load(first.target().id().value().equals("b") ? "a" : "b", 2);
        send();
        FakeTargets.SentRequest second = last();
        assertThat(second.metadata().version().get()).hasValue(2);
        nameVersion(3);
        world.time().advance(UNTIL_END.minusMillis(1_500));
        assertThat(first.isCancelled()).isTrue();
        assertThat(second.isOpen()).isTrue();
        world.time().advance(Duration.ofMillis(1_500));
        assertThat(second.isCancelled()).isTrue();
    }
}
