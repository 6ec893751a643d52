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
        // Callers of three adapters send at once to an engine with two slots, so a load has to evict an adapter. If
        // that one were in use, its caller would get no answer or one from the wrong adapter.
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
        // One caller reads nothing beyond its first chunks while another one reads on. No more of the slow one's chunks
        // may be requested from the engine than the companion retains, and the other answer must be complete.
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
        // The link breaks repeatedly during an answer. The companion retains what was not acknowledged, the entry
        // requests the next chunk over a new link, and the caller gets every chunk once and in order.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 2_000).build();
            RecordedAnswer answer = fixture.send(run);
            for (long threshold = 100; threshold <= 1_500; threshold += 200) {
                long minimum = threshold;
                CompanionFixture.await(() -> answer.chunks() >= minimum || answer.isEnded());
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
        // The companion's connection to the engine breaks during an answer; the engine continues. The companion
        // requests the rest and does not start the request again, so the caller gets every chunk once.
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
        // The engine restarts without adapters between two requests for one adapter. The state of an engine that runs
        // such a request on its bare model must be read before the second send; an engine that refuses it may be called
        // on stale state. In both cases the adapter is loaded again first and the caller gets its answer.
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
        // The engine restarts during an answer and no longer knows the stream. The caller must be told that the answer
        // was interrupted, not that nothing ran, and must not wait until its deadline.
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
    void answerFromAnotherAdapterIsWithheld(boolean namesAdapterAtEnd) throws IOException {
        // The engine runs another adapter than the requested one and reports it at the start or only at the end. No
        // chunk may reach the caller.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            fixture.engine.serveWrongAdapter();
            if (namesAdapterAtEnd) {
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
        // Five callers wait for one load, which fails. All are refused at once as not run, and nothing is sent to the
        // engine.
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
        // An entry that lost its companion seals its attempt before the Run arrives. The late Run must not start, since
        // the caller was told "not run" and may have been served elsewhere.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 10).build();
            List<SealOutcome> sealOutcomes = new ArrayList<>();
            fixture.attempts.seal(
                    CompanionFixture.COMPANION, run.getAttempt(), CompanionFixture.FIRST_INCARNATION, sealOutcome -> {
                        synchronized (sealOutcomes) {
                            sealOutcomes.add(sealOutcome);
                        }
                    });
            CompanionFixture.await(() -> {
                synchronized (sealOutcomes) {
                    return !sealOutcomes.isEmpty();
                }
            });
            RecordedAnswer answer = fixture.send(run);
            CompanionFixture.await(answer::isEnded);
            assertThat(sealOutcomes).containsExactly(SealOutcome.NEVER_STARTED);
            assertThat(answer.refusal()).contains(ResultCode.NOT_RUN);
            assertThat(answer.executionStatus()).contains(ExecutionStatus.NO);
            assertThat(fixture.engine.started()).isEmpty();
        }
    }

    @Test
    void withdrawnKeyEndsItsStreamsAndStartsNone() throws IOException {
        // A key is withdrawn while an answer for it is in progress. The stream is stopped at the engine, the caller is
        // told, and a request that an entry checked before the withdrawal is refused as not run.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 5_000).build();
            RecordedAnswer openStream = fixture.send(run, true);
            CompanionFixture.await(() -> openStream.chunks() == 8);
            fixture.configuration.withdrawKey("key-1", CompanionFixture.SECRET);
            RecordedAnswer lateAnswer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(openStream::isEnded);
            CompanionFixture.await(lateAnswer::isEnded);
            assertThat(openStream.refusal()).contains(ResultCode.KEY_REFUSED);
            assertThat(lateAnswer.refusal()).contains(ResultCode.KEY_REFUSED);
            assertThat(lateAnswer.executionStatus()).contains(ExecutionStatus.NO);
            CompanionFixture.await(() -> fixture.engine.cancelled().contains(AttemptId.of(run.getAttempt())));
            assertThat(fixture.engine.started()).hasSize(1);
        }
    }

    @Test
    void waitingRequestDoesNotStartWithoutFreshConfiguration() throws IOException {
        // A request waits for its adapter while the companion loses its connection to the configuration. The key may
        // have been withdrawn since, so the request is refused as not run once the adapter is loaded.
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
        // The companion drains during an answer. New work is refused as not run, the answer is completed, and only then
        // does the drain end.
        try (CompanionFixture fixture = CompanionFixture.ofEngine(new FakeEngine(2))) {
            Run run = fixture.generation("a", 1_000).build();
            RecordedAnswer runningAnswer = fixture.send(run, true);
            CompanionFixture.await(() -> runningAnswer.chunks() == 8);
            fixture.companion.drain();
            RecordedAnswer lateAnswer = fixture.send(fixture.generation("a", 10).build());
            CompanionFixture.await(lateAnswer::isEnded);
            assertThat(lateAnswer.refusal()).contains(ResultCode.DRAINING);
            assertThat(lateAnswer.executionStatus()).contains(ExecutionStatus.NO);
            // The refused attempt counts as unfinished until the entry acknowledges the refusal, which it does after it
            // has ended the attempt itself.
            CompanionFixture.await(() -> fixture.companion.unfinished() == 1);
            assertThat(runningAnswer.isEnded()).isFalse();
            runningAnswer.handle().request(2_000);
            CompanionFixture.await(runningAnswer::isEnded);
            assertThat(runningAnswer.text()).isEqualTo(CompanionFixture.expected(run));
            CompanionFixture.await(() -> fixture.companion.unfinished() == 0);
        }
    }
}
