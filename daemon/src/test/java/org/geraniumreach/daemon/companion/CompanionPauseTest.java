package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.time.Duration;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionPauseTest {

    private static final Duration PAUSE = Duration.ofSeconds(3);

    private static CompanionFixture engineFixture() throws IOException {
        CompanionFixture fixture = CompanionFixture.ofEngineThatChecksNoFence(new FakeEngine(2));
        CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
        return fixture;
    }

    /** Guards against a companion that treats its unconfirmed fencing token as superseded. */
    @Test
    void companionServesAfterAPauseBesideALoad() throws IOException {
        try (CompanionFixture fixture = engineFixture()) {
            fixture.table.holdReads(true);
            fixture.pauseCompanion(PAUSE);
            RecordedAnswer first = fixture.send(fixture.generation("a", 3).build());
            CompanionFixture.await(first::isAccepted);
            fixture.table.holdReads(false);
            CompanionFixture.await(first::isEnded);
            assertThat(fixture.companion.reasonNotReady()).isEmpty();
            CompanionFixture.await(() -> isServed(fixture, "b"));
        }
    }

    /** Guards against requests refused while it is still being found out whether their companion may send them. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void generationSentAfterAPauseWaitsForTheFencingToken(boolean isResident) throws IOException {
        try (CompanionFixture fixture = engineFixture()) {
            if (isResident) {
                assertThat(isServed(fixture, "a")).isTrue();
            }
            fixture.table.holdReads(true);
            fixture.pauseCompanion(PAUSE);
            Run run = fixture.generation("a", 3).build();
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isAccepted);
            fixture.table.holdReads(false);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).isEmpty();
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
        }
    }

    /** Guards against calls refused while it is still being found out whether their companion may send them. */
    @Test
    void callSentAfterAPauseWaitsForTheFencingToken() throws IOException {
        PlainService service = (attempt, account, operation, body) -> body;
        try (CompanionFixture fixture = CompanionFixture.ofServiceThatChecksNoFence(service)) {
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
            fixture.table.holdReads(true);
            fixture.pauseCompanion(PAUSE);
            RecordedAnswer answer = fixture.send(fixture.booking().build());
            CompanionFixture.await(answer::isAccepted);
            fixture.table.holdReads(false);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).isEmpty();
            assertThat(answer.text()).isEqualTo("{}");
        }
    }

    /** Guards against requests that wait on although the fencing token cannot be read. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void generationIsRefusedOnceTheFencingTokenCannotBeRead(boolean isResident) throws IOException {
        try (CompanionFixture fixture = engineFixture()) {
            if (isResident) {
                assertThat(isServed(fixture, "a")).isTrue();
            }
            int startedBefore = fixture.engine.started().size();
            fixture.table.failReads(true);
            fixture.pauseCompanion(PAUSE);
            RecordedAnswer answer = fixture.send(fixture.generation("a", 3).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.FENCED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).hasSize(startedBefore);
            fixture.table.failReads(false);
            CompanionFixture.await(() -> isServed(fixture, "a"));
        }
    }

    /** Guards against orders of a companion that was replaced during its pause. */
    @Test
    void companionReplacedDuringItsPauseSendsNothing() throws IOException, PlatformException {
        try (CompanionFixture fixture = engineFixture()) {
            assertThat(isServed(fixture, "a")).isTrue();
            fixture.takeTargetOver();
            fixture.pauseCompanion(PAUSE);
            RecordedAnswer answer = fixture.send(fixture.generation("a", 3).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.FENCED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    private static boolean isServed(CompanionFixture fixture, String adapter) {
        Run run = fixture.generation(adapter, 3).build();
        RecordedAnswer answer = fixture.send(run);
        CompanionFixture.await(answer::isEnded);
        return answer.text().equals(CompanionFixture.expected(run));
    }
}
