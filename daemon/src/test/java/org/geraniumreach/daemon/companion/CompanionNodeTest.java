package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionNodeTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8, 9, 64, 500})
    void everyChunkArrivesOnceAndInOrder(int tokens) throws IOException {
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", tokens).build();
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).isEmpty();
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            assertThat(answer.end().orElseThrow().getGeneratedTokens()).isEqualTo(tokens);
        }
    }

    @Test
    void streamsOfManyAdaptersShareFewSlots() throws IOException {
        // Callers of three adapters send at once to an engine with two slots. The third adapter's load has to evict
        // one. If that one were in use, its caller's answer would come from nothing or from the wrong adapter.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            List<Run> runs = new ArrayList<>();
            List<RecordedAnswer> answers = new ArrayList<>();
            for (int index = 0; index < 30; index++) {
                runs.add(fixture.generation(List.of("a", "b", "c").get(index % 3), 40)
                        .build());
                answers.add(fixture.send(runs.get(index)));
            }
            for (int index = 0; index < 30; index++) {
                CompanionFixture.await(answers.get(index)::isEnded);
                assertThat(answers.get(index).text()).isEqualTo(CompanionFixture.expected(runs.get(index)));
            }
            assertThat(fixture.engine.unloadedInUse()).isEmpty();
        }
    }

    @Test
    void slowCallerSlowsOnlyItsOwnStream() throws IOException {
        // One caller reads nothing beyond its first chunks; another one reads on. The engine is asked for no more of
        // the slow one's chunks than the companion keeps, and the other's answer is whole.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run slow = fixture.generation("a", 5_000).build();
            RecordedAnswer slowAnswer = fixture.send(slow, true);
            CompanionFixture.await(() -> slowAnswer.chunks() == 8);
            Run quick = fixture.generation("a", 300).build();
            RecordedAnswer quickAnswer = fixture.send(quick);
            CompanionFixture.await(quickAnswer::isEnded);
            assertThat(quickAnswer.text()).isEqualTo(CompanionFixture.expected(quick));
            assertThat(fixture.engine.chunksSent(AttemptId.of(slow.getAttempt())))
                    .isLessThanOrEqualTo(8 + 64);
            slowAnswer.handle().cancel("test");
            CompanionFixture.await(slowAnswer::isEnded);
        }
    }

    @Test
    void answerContinuesOverANewLink() throws IOException {
        // The link breaks again and again in the middle of an answer. The companion keeps what was not acknowledged,
        // the entry asks for the next chunk over a new link, and the caller gets every chunk once, in order.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 2_000).build();
            RecordedAnswer answer = fixture.send(run);
            for (long seen = 100; seen <= 1_500; seen += 200) {
                long least = seen;
                CompanionFixture.await(() -> answer.chunks() >= least || answer.isEnded());
                fixture.closeLink();
            }
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            assertThat(answer.ends()).isEqualTo(1);
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    @Test
    void answerContinuesAfterEngineConnectionBreaks() throws IOException {
        // The companion's connection to the engine breaks in the middle of an answer; the engine goes on. The companion
        // asks for the rest instead of starting the request anew, so the caller gets every chunk once.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 400).build();
            RecordedAnswer answer = fixture.send(run, true);
            CompanionFixture.await(() -> answer.chunks() == 8);
            fixture.engine.breakConnections();
            answer.handle().request(1_000);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void engineRestartLosesResidencyBeforeNextRequest(boolean runsBareModel) throws IOException {
        // The engine restarts cold between two requests on one adapter. An engine that then runs on its bare model
        // has to be looked at before the second is sent; one that refuses it may be asked on an old view. In both
        // cases the adapter is loaded again first, and the caller gets its answer.
        Duration checkAge = runsBareModel ? Duration.ZERO : Duration.ofHours(1);
        CompanionSettings settings = CompanionFixture.settings(checkAge, Duration.ZERO);
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2), settings)) {
            if (runsBareModel) {
                fixture.engine.runBareModel();
            }
            CompanionFixture.await(fixture.send(fixture.generation("a", 3).build())::isEnded);
            fixture.engine.restart();
            Run run = fixture.generation("a", 3).build();
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
            AdapterReference adapter = AdapterReference.of("a", "1");
            assertThat(fixture.engine.loaded()).containsExactly(adapter, adapter);
        }
    }

    @Test
    void engineRestartInterruptsAnAnswerInProgress() throws IOException {
        // The engine restarts while it is answering, and knows the stream no more. The caller is told that the answer
        // broke off; it does not wait until its deadline, and is not told that nothing ran.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            RecordedAnswer answer = fixture.send(fixture.generation("a", 5_000).build(), true);
            CompanionFixture.await(() -> answer.chunks() == 8);
            fixture.engine.restart();
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.ANSWER_INTERRUPTED);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.YES);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answerFromAnotherAdapterIsWithheld(boolean namesAtTheEnd) throws IOException {
        // The engine runs another adapter than the one named, and says so at the start or only at the end. Not one
        // chunk of it reaches the caller.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.engine.serveWrongAdapter();
            if (namesAtTheEnd) {
                fixture.engine.nameAdapterOnlyAtEnd();
            }
            RecordedAnswer answer = fixture.send(fixture.generation("a", 300).build());
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.WRONG_ADAPTER_SERVED);
            assertThat(answer.chunks()).isZero();
        }
    }

    @Test
    void engineThatNamesItsAdapterOnlyAtTheEndIsServedWhole() throws IOException {
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.engine.nameAdapterOnlyAtEnd();
            Run run = fixture.generation("a", 300).build();
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.text()).isEqualTo(CompanionFixture.expected(run));
        }
    }

    @Test
    void failedLoadRefusesAllItsWaitersAtOnce() throws IOException {
        // Five callers wait for one load, and it fails. All are told at once that nothing has run, and there was one
        // load.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.engine.holdLoads(true);
            List<RecordedAnswer> answers = new ArrayList<>();
            for (int index = 0; index < 5; index++) {
                answers.add(fixture.send(fixture.generation("a", 10).build()));
            }
            answers.forEach(answer -> CompanionFixture.await(answer::isAccepted));
            fixture.engine.failLoads(true);
            fixture.engine.holdLoads(false);
            for (RecordedAnswer answer : answers) {
                CompanionFixture.await(answer::isEnded);
                assertThat(answer.refusal()).contains(ResultCode.LOAD_FAILED);
                assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            }
            assertThat(fixture.engine.started()).isEmpty();
        }
    }

    @Test
    void sealedAttemptNeverStarts() throws IOException {
        // An entry that lost its companion seals its attempt before the Run arrives; the Run arrives late. It must
        // not run, since the caller was told so and may have been served elsewhere.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 10).build();
            List<SealOutcome> outcomes = new ArrayList<>();
            fixture.attempts.seal(
                    CompanionFixture.COMPANION, run.getAttempt(), CompanionFixture.FIRST_INCARNATION, outcome -> {
                        synchronized (outcomes) {
                            outcomes.add(outcome);
                        }
                    });
            CompanionFixture.await(() -> {
                synchronized (outcomes) {
                    return !outcomes.isEmpty();
                }
            });
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(outcomes).containsExactly(SealOutcome.NEVER_STARTED);
            assertThat(answer.refusal()).contains(ResultCode.NOT_RUN);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).isEmpty();
        }
    }

    @Test
    void withdrawnKeyEndsItsStreamsAndStartsNone() throws IOException {
        // A key is withdrawn while its caller's answer is coming. The stream is stopped at the engine, the caller is
        // told, and a request that an entry checked before the withdrawal is refused as not run.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 5_000).build();
            RecordedAnswer open = fixture.send(run, true);
            CompanionFixture.await(() -> open.chunks() == 8);
            fixture.configuration.withdrawKey("key-1", CompanionFixture.SECRET);
            RecordedAnswer late = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(open::isEnded);
            CompanionFixture.await(late::isEnded);
            assertThat(open.refusal()).contains(ResultCode.KEY_REFUSED);
            assertThat(late.refusal()).contains(ResultCode.KEY_REFUSED);
            assertThat(late.executionStatus()).contains(ExecutionStatus.NO);
            CompanionFixture.await(() -> fixture.engine.cancelled().contains(AttemptId.of(run.getAttempt())));
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    @Test
    void waitingRequestDoesNotStartWithoutFreshConfiguration() throws IOException {
        // A request waits for its adapter while the companion loses sight of the configuration. Its key may have been
        // withdrawn since; when the adapter is there, the request is refused as not run.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.engine.holdLoads(true);
            RecordedAnswer answer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(answer::isAccepted);
            fixture.configuration.makeStale();
            fixture.engine.holdLoads(false);
            CompanionFixture.await(answer::isEnded);
            assertThat(answer.refusal()).contains(ResultCode.NOT_FRESH);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).isEmpty();
        }
    }

    @Test
    void drainCompletesRunningWorkAndRefusesNewWork() throws IOException {
        // The companion leaves while an answer is coming. New work is refused as not run; the answer comes whole, and
        // only then is nothing unfinished.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 1_000).build();
            RecordedAnswer running = fixture.send(run, true);
            CompanionFixture.await(() -> running.chunks() == 8);
            fixture.companion.drain();
            RecordedAnswer late = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(late::isEnded);
            assertThat(late.refusal()).contains(ResultCode.DRAINING);
            assertThat(late.executionStatus()).contains(ExecutionStatus.NO);
            // The refusal counts, too, until the entry's acknowledgement of it has come, which the entry sends after
            // its own end.
            CompanionFixture.await(() -> fixture.companion.unfinished() == 1);
            assertThat(running.isEnded()).isFalse();
            running.handle().request(2_000);
            CompanionFixture.await(running::isEnded);
            assertThat(running.text()).isEqualTo(CompanionFixture.expected(run));
            CompanionFixture.await(() -> fixture.companion.unfinished() == 0);
        }
    }
}
