package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceCompanionTest {

    private static final Duration REST = Duration.ofSeconds(30);

    private final List<AttemptId> calls = new CopyOnWriteArrayList<>();

    private PlainService answering(String answer) {
        return (attempt, account, operation, body) -> {
            calls.add(attempt);
            return answer.getBytes(StandardCharsets.UTF_8);
        };
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536, 300_000})
    void answerOfAnySizeArrivesWhole(int size) throws IOException {
        String text = "x".repeat(size);
        try (CompanionFixture fixture = CompanionFixture.ofService(answering(text))) {
            RecordedAnswer answer = fixture.send(fixture.booking().build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.end()).isPresent();
            assertThat(answer.text()).isEqualTo(text);
        }
    }

    @ParameterizedTest
    @CsvSource({"NONE, TARGET_FAILED, NO", "UNKNOWN, OUTCOME_UNKNOWN, UNKNOWN"})
    void failedCallIsNotRetried(Effect effect, ResultCode code, ExecutionStatus executionStatus) throws IOException {
        // The service's answer is lost. The booking may have been made, and a second call could make it twice. So there
        // is no second call, and the caller gets the known execution status.
        PlainService failing = (attempt, account, operation, body) -> {
            calls.add(attempt);
            throw new PlatformException(effect, "the answer was lost", null);
        };
        try (CompanionFixture fixture = CompanionFixture.ofService(failing)) {
            RecordedAnswer answer = fixture.send(fixture.booking().build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(code);
            assertThat(answer.executionStatus()).contains(executionStatus);
            assertThat(calls).hasSize(1);
        }
    }

    // Guards against calls to a service that has refused one and asked for rest.
    @Test
    void aServiceThatHasAskedForRestIsNotCalledMeanwhile() throws IOException {
        PlainService resting = (attempt, account, operation, body) -> {
            calls.add(attempt);
            throw new PlatformException(Effect.NONE, "busy", null).withRetryAfter(REST);
        };
        try (CompanionFixture fixture = CompanionFixture.ofService(resting)) {
            RecordedAnswer first = fixture.send(fixture.booking().build());
            CompanionFixture.await(first::isEnded);
            RecordedAnswer second = fixture.send(fixture.booking().build());
            CompanionFixture.await(second::isEnded);
            assertThat(second.refusal()).contains(ResultCode.OVERLOADED);
            assertThat(second.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(calls).hasSize(1);
        }
    }

    @Test
    void bookingRunsOnceAndIsAnsweredWhenItsLinkBreaks() throws IOException {
        // The link breaks while the service processes a booking. The entry requests the answer over a new link; the
        // booking is not made again, and its answer reaches the caller.
        CountDownLatch release = new CountDownLatch(1);
        PlainService slow = (attempt, account, operation, body) -> {
            calls.add(attempt);
            awaitQuietly(release);
            return "booked".getBytes(StandardCharsets.UTF_8);
        };
        try (CompanionFixture fixture = CompanionFixture.ofService(slow)) {
            RecordedAnswer answer = fixture.send(fixture.booking().build());
            CompanionFixture.await(() -> !calls.isEmpty());
            fixture.closeLink();
            release.countDown();
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo("booked");
            assertThat(calls).hasSize(1);
        }
    }

    @Test
    void answerIsRetainedForAnotherEntry() throws IOException {
        // The entry that sent a booking received its answer and crashed. Another entry requests the attempt from the
        // first chunk; it gets the same answer, and no second booking is made.
        try (CompanionFixture fixture = CompanionFixture.ofService(answering("booked"))) {
            Run run = fixture.booking().build();
            RecordedAnswer first = fixture.send(run);
            CompanionFixture.await(first::isEnded);
            RecordedAnswer second = new RecordedAnswer(false);
            second.attachHandle(fixture.attempts.resume(
                    CompanionFixture.COMPANION, run.getAttempt(), CompanionFixture.FIRST_INCARNATION, 0, second));
            second.handle().request(8);
            CompanionFixture.await(second::isEnded);
            assertThat(second.text()).isEqualTo("booked");
            assertThat(calls).hasSize(1);
        }
    }

    @Test
    void bookingAfterItsSendLimitIsNotMade() throws IOException {
        // An entry is frozen after it has decided to send. Meanwhile another entry seals the attempt and makes the
        // booking by a new one, and the companion forgets the seal. The late Run must not make the booking a second
        // time.
        try (CompanionFixture fixture = CompanionFixture.ofService(answering("booked"))) {
            RecordedAnswer answer =
                    fixture.send(fixture.booking().setNotAfterMillis(1).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.UNKNOWN);
            assertThat(calls).isEmpty();
        }
    }

    @Test
    void bookingOfARestartedCompanionHasAnUnknownOutcome() throws IOException {
        // The companion crashes while the service processes a booking. It is not known whether the booking was made, so
        // the caller is told that the outcome is unknown, and the booking is not sent again.
        CountDownLatch never = new CountDownLatch(1);
        PlainService stuck = (attempt, account, operation, body) -> {
            calls.add(attempt);
            awaitQuietly(never);
            return new byte[0];
        };
        try (CompanionFixture fixture = CompanionFixture.ofService(stuck)) {
            RecordedAnswer answer = fixture.send(fixture.booking().build());
            CompanionFixture.await(() -> !calls.isEmpty());
            fixture.replaceCompanion();
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.UNKNOWN);
            assertThat(calls).hasSize(1);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws PlatformException {
        try {
            latch.await();
        } catch (InterruptedException stopped) {
            throw new PlatformException(Effect.UNKNOWN, "interrupted", stopped);
        }
    }
}
