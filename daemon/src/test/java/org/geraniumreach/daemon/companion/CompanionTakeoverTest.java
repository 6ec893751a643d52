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
import org.geraniumreach.model.TargetId;
import org.geraniumreach.ports.ModelEngine.Generation;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionTakeoverTest {

    @Test
    void answerContinuesAfterACompanionRestart() throws IOException {
        // The companion dies in the middle of an answer; the engine goes on. Its successor finds the stream at the
        // engine, the entry asks it for the next chunk, and the caller gets every chunk once. The request is not run
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
        // A companion died, and the entry of one of its streams too. The successor does not know on which adapter that
        // stream runs. It evicts nothing until the stream is stopped, so no answer loses its adapter.
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
    void replacedCompanionRefusesNewWork() throws IOException {
        // A second companion takes the target over while the first one is still running and linked. The first one
        // sees the newer fence and refuses new work as not run, although the target does not check fences.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            new FencingTokenStore(
                            fixture.table,
                            TargetId.of("target-1"),
                            CompanionFixture.COMPANION,
                            CompanionFixture.FIRST_INCARNATION + 1)
                    .acquire();
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isPresent());
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.FENCED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).isEmpty();
        } catch (PlatformException impossible) {
            throw new AssertionError(impossible);
        }
    }

    @Test
    void newerFenceAtTheTargetStopsTheOldCompanion() throws IOException {
        // The target checks fences and has had an order of a newer companion. It refuses the old one's order; the
        // caller is told that nothing ran, and the old companion stops.
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
        // The target carries out whatever it is told. A companion that starts beside it takes no work while an order
        // of its predecessor may still be valid, says so as not run, and takes work afterwards.
        try (CompanionFixture fixture = CompanionFixture.ofEngineThatChecksNoFence(new FakeEngine(2))) {
            RecordedAnswer early = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(early::isEnded);
            assertThat(early.refusal()).contains(ResultCode.NO_TARGET);
            assertThat(early.executionStatus()).contains(ExecutionStatus.NO);
            CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.end()).isPresent();
        }
    }
}
