package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.ports.ModelEngine.Generation;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionTakeoverTest {

    @Test
    void answerContinuesAfterACompanionRestart() throws IOException {
        // The companion crashes during an answer; the engine continues. The successor finds the stream at the engine,
        // the entry requests the next chunk from it, and the caller gets every chunk once. The request is not run
        // again.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 300).build();
            RecordedAnswer answer = fixture.send(run, true);
            CompanionFixture.await(() -> answer.chunks() == 8);
            fixture.replaceCompanion();
            answer.handle().request(1_000);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    @Test
    void unclaimedStreamIsStoppedBeforeAnyEviction() throws IOException {
        // A companion crashed, and so did the entries of its streams. The successor does not know the adapters of these
        // streams. It must evict nothing until they are stopped, so that no answer loses its adapter.
        FakeEngine engine = new FakeEngine(2);
        for (String adapter : List.of("a", "c")) {
            engine.addInheritedStream(new Generation(
                    AttemptId.of("left-" + adapter),
                    AccountId.of("winders"),
                    AdapterReference.of(adapter, "1"),
                    "prompt",
                    100,
                    5));
        }
        CompanionSettings settings = CompanionFixture.settings(Duration.ofMillis(100), Duration.ofMillis(300));
        try (CompanionFixture fixture = CompanionFixture.ofEngine(engine, settings)) {
            Run run = fixture.generation("b", 10).build();
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            assertThat(engine.cancelled()).contains(AttemptId.of("left-a"), AttemptId.of("left-c"));
            assertThat(engine.unloadedInUse()).isEmpty();
        }
    }

    @Test
    void replacedCompanionRefusesNewWork() throws IOException, PlatformException {
        // A second companion takes the target over while the first one still runs and is linked. The first one reads
        // the newer fencing token and refuses new work as not run, although the target has not received the newer
        // token.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.takeTargetOver();
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isPresent());
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.FENCED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).isEmpty();
        }
    }

    @Test
    void newerFenceAtTheTargetStopsTheOldCompanion() throws IOException {
        // The target checks fencing tokens and has received an order of a newer companion. It refuses the old
        // companion's order; the caller is told that nothing ran, and the old companion accepts no more work.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            CompanionFixture.await(fixture.send(fixture.generation("a", 3).build())::isEnded);
            fixture.engine.acceptFence(2);
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.FENCED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.companion.reasonNotReady()).isPresent();
        }
    }

    @Test
    void nextCompanionAcquiresAHigherFence() throws IOException {
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            long first = fixture.companion.fence();
            fixture.table.loseNextAnswer();
            fixture.replaceCompanion();
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
            assertThat(fixture.companion.fence()).isEqualTo(first + 1);
        }
    }

    @Test
    void companionWaitsForPredecessorOrdersIfItsTargetChecksNoFence() throws IOException {
        // The target carries out every order. A companion that takes it over accepts no work while an order of its
        // predecessor may still be valid, refuses requests as not run until then, and accepts work afterwards.
        try (CompanionFixture fixture = CompanionFixture.ofEngineThatChecksNoFence(new FakeEngine(2))) {
            RecordedAnswer earlyAnswer =
                    fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(earlyAnswer::isEnded);
            assertThat(earlyAnswer.refusal()).contains(ResultCode.NO_TARGET);
            assertThat(earlyAnswer.executionStatus()).contains(ExecutionStatus.NO);
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.end()).isPresent();
        }
    }
}
