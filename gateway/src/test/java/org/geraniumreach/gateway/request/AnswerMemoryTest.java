package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AnswerMemoryTest {

    private static final String MEGABYTE = "x".repeat(1024 * 1024);

    /** An eighth of the harness's heap of 160 MB, and a quarter of that. */
    private static final int CAPACITY_MEGABYTES = 20;

    private static final int ANSWER_MEGABYTES = 5;

    private final RequestHarness world = new RequestHarness();

    private FakeTargets.SentRequest begin(RecordedAnswer answer, int status, boolean stream) {
        world.receive(answer, RequestHarness.KEY, Optional.empty());
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        sent.answerHead(status, stream);
        return sent;
    }

    /** Guards against a heap that fills with an answer, an error or an event that does not end. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 200, false", "IDEMPOTENT, 500, false", "RESUMABLE_STREAM, 200, true"})
    void anAnswerThatDoesNotEndIsCancelledAtItsLimit(RetryPolicy policy, int status, boolean stream) {
        world.startWithRoute(policy, 1).addTarget("a");
        FakeTargets.SentRequest sent = begin(new RecordedAnswer(), status, stream);
        for (int part = 0; part < ANSWER_MEGABYTES; part++) {
            sent.answerPart(MEGABYTE);
            assertThat(sent.isCancelled()).isFalse();
        }
        sent.answerPart("x");
        assertThat(sent.isCancelled()).isTrue();
        assertThat(world.answerMemory().heldBytes()).isZero();
    }

    /** Guards against many answers that are each below their limit, and against failing those that hold nothing. */
    @Test
    void allAnswersTogetherHoldNoMoreThanTheMemory() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        List<FakeTargets.SentRequest> longAnswers = new ArrayList<>();
        for (int request = 0; request < CAPACITY_MEGABYTES / ANSWER_MEGABYTES; request++) {
            FakeTargets.SentRequest sent = begin(new RecordedAnswer(), 200, false);
            for (int part = 0; part < ANSWER_MEGABYTES; part++) {
                sent.answerPart(MEGABYTE);
            }
            longAnswers.add(sent);
        }
        assertThat(longAnswers).noneMatch(FakeTargets.SentRequest::isCancelled);
        RecordedAnswer refused = new RecordedAnswer();
        begin(refused, 200, false).answerPart("x");
        assertThat(refused.status()).isEqualTo(502);
        RecordedAnswer empty = new RecordedAnswer();
        begin(empty, 200, false).endAnswer();
        assertThat(empty.status()).isEqualTo(200);
        longAnswers.forEach(FakeTargets.SentRequest::endAnswer);
        assertThat(world.answerMemory().heldBytes()).isZero();
    }

    private enum End {
        COMPLETED,
        BROKEN,
        CALLER_GONE,
        DEADLINE
    }

    /** Guards against memory that is never given back, so that requests fail in the end although little is held. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whatWasHeldIsGivenBackHoweverTheRequestEnds(End end) {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        Cancellable caller = world.receive(new RecordedAnswer(), RequestHarness.KEY, Optional.empty());
        FakeTargets.SentRequest sent = world.targets().lastRequest();
        sent.answerHead(200, false);
        sent.answerPart(MEGABYTE);
        assertThat(world.answerMemory().heldBytes()).isEqualTo(MEGABYTE.length());
        switch (end) {
            case COMPLETED -> sent.endAnswer();
            case BROKEN -> sent.fail(true);
            case CALLER_GONE -> caller.cancel();
            default -> world.time().advance(RequestHarness.TIMEOUT.plus(Duration.ofSeconds(1)));
        }
        assertThat(world.answerMemory().heldBytes()).isZero();
    }

    @Test
    void aMemoryHasACapacity() {
        assertThatThrownBy(() -> new AnswerMemory(0)).isInstanceOf(IllegalArgumentException.class);
    }
}
