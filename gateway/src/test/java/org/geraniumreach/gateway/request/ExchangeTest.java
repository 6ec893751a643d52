package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExchangeTest {

    private static final AdapterName ADAPTER = new AdapterName("base", "a7");

    private final RequestHarness world = new RequestHarness();

    @Test
    void aCompleteAnswerIsRelayedWithItsStatusAndHeaders() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().answerHead(201, false);
        world.targets().lastRequest().answerPart("booked");
        world.targets().lastRequest().endAnswer();
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.text()).isEqualTo("booked");
        assertThat(answer.header("Seal")).isEqualTo("a");
        assertThat(answer.isComplete()).isTrue();
    }

    // The target may have made the booking before the connection broke. Sent to another target, the request could
    // book twice, so the caller gets a 502 although another target is free.
    @Test
    void aSingleRunRequestIsNotSentAgainAfterItsConnectionBroke() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(answer.status()).isEqualTo(502);
    }

    // The first target reports that it has not run the request, so the second may.
    @ParameterizedTest
    @EnumSource(
            value = NotExecuted.class,
            names = {"SHED", "ANOTHER_TARGET"})
    void aRequestThatWasNotExecutedGoesToAnotherTarget(NotExecuted reason) {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().answerNotExecuted(reason);
        assertThat(world.targets().sentRequests()).hasSize(2);
        world.targets().lastRequest().answerHead(200, false);
        world.targets().lastRequest().endAnswer();
        assertThat(answer.isComplete()).isTrue();
    }

    // The only target was never reached, so the request cannot have run.
    @Test
    void aRequestThatReachedNoTargetIsRefusedAsNotRunWithARetryDelay() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().fail(false);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(answer.isComplete()).isTrue();
    }

    @Test
    void anIdempotentRequestIsSentAgainAfterItsConnectionBroke() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().sentRequests()).hasSize(2);
        assertThat(world.targets().sentRequests().get(0).target())
                .isNotSameAs(world.targets().lastRequest().target());
        world.targets().lastRequest().answerHead(200, false);
        world.targets().lastRequest().endAnswer();
        assertThat(answer.status()).isEqualTo(200);
    }

    // Both targets that the route allows ran the request and failed, so the caller gets the error of the last one.
    @Test
    void noMoreTargetsRunARequestThanItsRouteAllows() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 2)
                .addTarget("a")
                .addTarget("b")
                .addTarget("c");
        RecordedAnswer answer = world.send();
        for (int run = 0; run < 2; run++) {
            world.targets().lastRequest().answerHead(500, false);
            world.targets().lastRequest().answerPart("no");
            world.targets().lastRequest().endAnswer();
        }
        assertThat(world.targets().sentRequests()).hasSize(2);
        assertThat(answer.status()).isEqualTo(500);
        assertThat(answer.text()).isEqualTo("no");
    }

    // The first target fails within the third event. The second continues after the second event, the last complete
    // one, under the head of the first.
    @Test
    void aResumableStreamContinuesAfterTheLastCompleteEvent() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        world.targets().lastRequest().answerHead(200, true);
        world.targets().lastRequest().answerPart("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda");
        String first = world.targets().lastRequest().target().id().value();
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().lastRequest().metadata().lastEvent()).hasValue(2);
        world.targets().lastRequest().answerHead(200, true);
        world.targets().lastRequest().answerPart("id: 3\ndata: z\n\n");
        world.targets().lastRequest().endAnswer();
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n");
        assertThat(answer.header("Seal")).isEqualTo(first);
        assertThat(answer.headCount()).isEqualTo(1);
        assertThat(answer.isComplete()).isTrue();
    }

    /** Guards against a negative time in the metrics of an answer that went on at another target. */
    @Test
    void anAnswerThatWentOnHasNoTimeFromItsLastSendToItsFirstPart() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        BegunStream.start(world);
        world.time().advance(Duration.ofMillis(50));
        world.targets().lastRequest().fail(true);
        world.targets().lastRequest().answerHead(200, true);
        world.targets().lastRequest().endAnswer();
        assertThat(world.outcomes()).hasSize(1);
        assertThat(world.outcomes().get(0).firstPartAfterSend()).isEmpty();
    }

    // The stream may run only once, so it is aborted instead of ended normally.
    @Test
    void aSingleRunStreamIsAbortedIfItsTargetFails() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE_STREAM, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = BegunStream.start(world).answer();
        world.targets().lastRequest().fail(true);
        assertThat(answer.isAborted()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    // The second target repeats or skips an event, so its stream must not continue the answer.
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: x\n\n", "id: 3\ndata: z\n\n"})
    void anEventOutOfSequenceIsNotRelayed(String event) {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        RecordedAnswer answer = BegunStream.start(world).answer();
        world.targets().lastRequest().fail(true);
        world.targets().lastRequest().answerHead(200, true);
        world.targets().lastRequest().answerPart(event);
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\n");
        assertThat(answer.isAborted()).isTrue();
    }

    // The first target accepted the request and sent nothing, so the stream is started at the second.
    @Test
    void aResumableStreamMovesAwayFromASilentTarget() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a").addTarget("b");
        world.send();
        world.time().advance(ExchangeSettings.defaults().firstEventTimeout().plusMillis(1));
        assertThat(world.targets().sentRequests()).hasSize(2);
        assertThat(world.targets().sentRequests().get(0).isCancelled()).isTrue();
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    @Test
    void theAttemptIsCancelledWhenTheCallerDisconnects() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable caller = world.receive(answer, RequestHarness.KEY, Optional.empty());
        caller.cancel();
        assertThat(world.targets().lastRequest().isCancelled()).isTrue();
        assertThat(answer.isEnded()).isFalse();
        assertThat(world.openExchanges()).isZero();
    }

    // The target still has the request at the timeout of the route, so "not run" must not be answered.
    @Test
    void aRequestAtATargetEndsAsUnknownAtTheTimeoutOfItsRoute() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.time().advance(RequestHarness.TIMEOUT.plusMillis(1));
        assertThat(answer.status()).isEqualTo(504);
        assertThat(world.targets().lastRequest().isCancelled()).isTrue();
    }

    @Test
    void anUnknownKeyIsRefusedWithoutContactingATarget() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = new RecordedAnswer();
        world.receive(answer, "another-key", Optional.empty());
        assertThat(answer.status()).isEqualTo(401);
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    // Without a configuration an entry must ask callers to retry, and never report an unknown route or key.
    @Test
    void anEntryWithoutAConfigurationAsksToRetry() {
        RecordedAnswer answer = world.send();
        world.time().advance(Duration.ofSeconds(1));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    /** Guards against requests that wait for a slot at one target while another has a free one. */
    @Test
    void aTargetThatDeclinesALoadIsPassedOverAtOnce() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b", "c", "d")) {
            world.addTarget(name, Map.of("base", Map.of()));
        }
        world.adapters().setDeclining("a", "b");
        world.send(Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).hasSize(1);
        assertThat(world.adapters().enqueuedLoads().get(0)).matches("[cd] a7");
    }

    /** Guards against requests that move from target to target if all of them decline the load. */
    @Test
    void aRequestWaitsAtTheThirdTargetAfterTwoDeclined() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b", "c", "d")) {
            world.addTarget(name, Map.of("base", Map.of()));
        }
        world.adapters().setDeclining("a", "b", "c", "d");
        world.send(Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).hasSize(1);
    }

    /** Guards against learning the speed of a target from the pauses in which it prefills the prompts of other requests. */
    @Test
    void thePaceOfAStreamIsPassedOnWithoutItsPauses() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of("a7", 1L)));
        world.send(Optional.of(generation()));
        FakeTargets.SentRequest request = world.targets().lastRequest();
        request.answerHead(200, true);
        for (int event = 0; event < 12; event++) {
            world.time().advance(Duration.ofMillis(event % 4 == 0 ? 300 : 40));
            request.answerPart("id: " + event + "\n\n");
        }
        request.endAnswer();
        assertThat(world.paces()).containsExactly(new PaceSample(Duration.ofMillis(40)));
    }

    /** Guards against learning the speed of a target from streams that are too short or arrive at once. */
    @ParameterizedTest
    @CsvSource({"3, 40", "12, 0"})
    void aStreamWithoutAPaceIsNotPassedOn(int events, long intervalMillis) {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of("a7", 1L)));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.targets().lastRequest().answerHead(200, true);
        for (int event = 0; event < events; event++) {
            world.time().advance(Duration.ofMillis(intervalMillis));
            world.targets().lastRequest().answerPart("id: " + event + "\n\n");
        }
        world.targets().lastRequest().endAnswer();
        assertThat(world.paces()).isEmpty();
        assertThat(answer.isEnded()).isTrue();
    }

    /** Guards against prompts that are sent to a target whose admission refused them. */
    @Test
    void aSaturatedTargetIsPassedOver() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b")) {
            world.addTarget(name, Map.of("base", Map.of("a7", 1L)));
        }
        List<String> asked = new ArrayList<>();
        world.setTargetAdmission((target, promptTokens, longestDelay, decided) -> {
            asked.add(target.id().value());
            decided.accept(asked.size() == 1 ? Decision.SATURATED : new Decision(true, Duration.ofMillis(90)));
            return Cancellable.NOOP;
        });
        world.send(Optional.of(generation()));
        assertThat(asked).doesNotHaveDuplicates().hasSize(2);
        assertThat(world.targets().sentRequests()).isEmpty();
        world.time().advance(Duration.ofMillis(91));
        assertThat(world.targets().lastRequest().target().id().value()).isEqualTo(asked.get(1));
    }

    /** Guards against requests that are never sent because all targets are saturated. */
    @Test
    void aRequestIsSentWithoutAdmissionAfterThreeRefusals() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of("a7", 1L)));
        world.setTargetAdmission((target, promptTokens, longestDelay, decided) -> {
            decided.accept(Decision.SATURATED);
            return Cancellable.NOOP;
        });
        world.send(Optional.of(generation()));
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against a request that is sent to a target that left while the request was delayed. */
    @Test
    void aDelayedRequestIsNotSentToATargetThatHasLeft() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b")) {
            world.addTarget(name, Map.of("base", Map.of("a7", 1L)));
        }
        List<Target> asked = new ArrayList<>();
        world.setTargetAdmission((target, promptTokens, longestDelay, decided) -> {
            asked.add(target);
            decided.accept(new Decision(true, Duration.ofMillis(90)));
            return Cancellable.NOOP;
        });
        world.send(Optional.of(generation()));
        world.registry().onRowRemoved(asked.get(0).id());
        world.time().advance(Duration.ofMillis(200));
        assertThat(world.targets().lastRequest().target()).isNotSameAs(asked.get(0));
    }

    @Test
    void aRequestWaitsForItsAdapterAndIsSentOnceItIsLoaded() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of()));
        world.send(Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).contains("a a7");
        assertThat(world.targets().sentRequests()).isEmpty();
        world.registry()
                .all()
                .iterator()
                .next()
                .learnResident(new AdapterName("base", "a7"), 1, world.time().nanos());
        world.adapters().notifyWaiters();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    // The load wait is limited to three seconds, well below the timeout of the request.
    @Test
    void aRequestWhoseAdapterIsNotLoadedIsRefusedWellBeforeItsTimeout() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofSeconds(4));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    // The only target loads slowly. A refused caller would retry and wait for the same load.
    @Test
    void aRequestKeepsWaitingForASlowLoadIfNoOtherTargetExists() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofMillis(1_200));
        assertThat(answer.isEnded()).isFalse();
        world.registry()
                .all()
                .iterator()
                .next()
                .learnResident(new AdapterName("base", "a7"), 1, world.time().nanos());
        world.adapters().notifyWaiters();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    // The target fails after five seconds, longer than a new request may wait for a load, and the adapter has to be
    // loaded at the other target first. The stream must not be aborted meanwhile.
    @Test
    void aStreamThatLosesItsTargetLateWaitsForALoadElsewhere() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.targets().lastRequest().answerHead(200, true);
        for (int event = 1; event <= 5; event++) {
            world.targets().lastRequest().answerPart("id: " + event + "\ndata: x\n\n");
            world.time().advance(Duration.ofSeconds(1));
        }
        world.targets().lastRequest().fail(true);
        assertThat(answer.isEnded()).isFalse();
        assertThat(world.adapters().enqueuedLoads()).contains("b a7");
        world.registry()
                .find(TargetId.of("b"))
                .orElseThrow()
                .learnResident(ADAPTER, 1, world.time().nanos());
        world.adapters().notifyWaiters();
        assertThat(world.targets().lastRequest().metadata().lastEvent()).hasValue(5);
    }

    private static GatewayRequest.Generation generation() {
        return new GatewayRequest.Generation(
                "base",
                Optional.of(new AdapterName("base", "a7")),
                100,
                50,
                List.of(new GatewayRequest.PromptPart("p", 100)));
    }

    // After a simultaneous restart of all entries, callers reach them before they have read configuration and
    // targets. Refused callers would retry after a second, and repeatedly, although the entry is ready after half a
    // second.
    @Test
    void aRequestReceivedBeforeTheConfigurationIsServedOnceItIsKnown() {
        RecordedAnswer answer = world.send();
        world.time().advance(Duration.ofMillis(500));
        world.configure(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a").start();
        assertThat(world.targets().lastRequest().metadata().remainingTime().get())
                .isEqualTo(RequestHarness.TIMEOUT.minusMillis(500));
        world.targets().lastRequest().answerHead(200, false);
        world.targets().lastRequest().endAnswer();
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.status()).isEqualTo(200);
    }

    // The store is unavailable during the startup, so the end of the wait is unknown: early callers are soon asked to
    // retry, and later ones at once.
    @Test
    void anEntryWithALongStartupRefusesAtOnce() {
        RecordedAnswer earlyAnswer = world.send();
        world.time().advance(Duration.ofSeconds(1));
        assertThat(earlyAnswer.status()).isEqualTo(503);
        assertThat(earlyAnswer.header("Retry-After")).isNotEmpty();
        world.time().advance(Duration.ofSeconds(2));
        RecordedAnswer lateAnswer = world.send();
        assertThat(lateAnswer.status()).isEqualTo(503);
    }

    @Test
    void aHeldRequestWhoseCallerDisconnectsIsNotSent() {
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable received = world.receive(answer, RequestHarness.KEY, Optional.empty());
        received.cancel();
        world.configure(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a").start();
        world.time().advance(Duration.ofSeconds(2));
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    // For half a second after all entries have started, none of them may order loads. A request whose adapter is not
    // resident waits instead of being refused.
    @Test
    void aRequestWaitsForAnEntryThatCanLoadItsAdapter() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE_STREAM, 1).addTarget("a", Map.of("base", Map.of()));
        world.setTargetsHeld(false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofMillis(500));
        world.setTargetsHeld(true);
        world.time().advance(Duration.ofMillis(200));
        assertThat(world.adapters().enqueuedLoads()).isNotEmpty();
        assertThat(answer.isEnded()).isFalse();
    }

    // After a long store outage no entry may order loads, so waiting callers are soon asked to retry.
    @Test
    void aRequestIsRefusedSoonIfNoEntryCanLoadItsAdapter() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE_STREAM, 1).addTarget("a", Map.of("base", Map.of()));
        world.setTargetsHeld(false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofMillis(1_200));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    // Callers abandon a silent request after two seconds or four objectives. If the adapter is not loaded, they are
    // asked to retry before that. The objective of this route is 0.8 s.
    @Test
    void aCallerIsAskedToRetryBeforeItAbandonsAWaitForALoad() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE_STREAM, 1).addTarget("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofMillis(2_500));
        assertThat(answer.isEnded()).isFalse();
        world.time().advance(Duration.ofMillis(600));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    /** Refuses the first request, whose target then takes no other for a second. */
    private RequestLimiter refusingFirst(List<Target> asked) {
        return (target, onDecision) -> {
            asked.add(target);
            if (asked.size() == 1) {
                world.limitTarget(target.id().value(), Duration.ofSeconds(1));
                onDecision.accept(RequestLimiter.Decision.refused(Duration.ofSeconds(1)));
            } else {
                onDecision.accept(RequestLimiter.Decision.permitted(Duration.ofSeconds(1)));
            }
            return Cancellable.NOOP;
        };
    }

    // Guards against sending a request that waited for its prompt's turn to a target that has named a limit meanwhile.
    @Test
    void aRequestThatWaitedIsSentElsewhereIfItsTargetIsLimitedByThen() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of("a7", 1L)));
        world.setTargetAdmission((target, promptTokens, longestDelay, onDecision) -> {
            onDecision.accept(new Decision(true, Duration.ofMillis(100)));
            return Cancellable.NOOP;
        });
        List<Target> asked = new ArrayList<>();
        world.setLimiter(refusingFirst(asked));
        world.send(Optional.of(generation()));
        assertThat(asked).isEmpty();
        world.time().advance(Duration.ofMillis(250));
        assertThat(asked).hasSize(2);
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.targets().lastRequest().target()).isNotSameAs(asked.get(0));
    }

    // Guards against retries that do not count against a target's limit.
    @Test
    void aRetryAsksForPermissionAsWell() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 3)
                .addTarget("a")
                .addTarget("b")
                .addTarget("c");
        world.send();
        List<Target> asked = new ArrayList<>();
        world.setLimiter(refusingFirst(asked));
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(asked).hasSize(2);
        assertThat(world.targets().sentRequests()).hasSize(2);
        assertThat(world.targets().lastRequest().target())
                .isSameAs(asked.get(1))
                .isNotSameAs(asked.get(0));
    }

    // Guards against callers who wait, or are told a guessed time, where all targets have named limits that are used
    // up.
    @Test
    void aRequestThatNoTargetTakesNowIsRejectedAtOnceWithTheShortestTime() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a").addTarget("b");
        world.limitTarget("a", Duration.ofSeconds(3));
        world.limitTarget("b", Duration.ofMillis(1_500));
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isEqualTo("1.50");
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    // Guards against sending a request that waited for its prompt's turn to a target that has asked for rest meanwhile.
    @Test
    void aRequestThatWaitedIsSentElsewhereIfItsTargetRestsByThen() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of("a7", 1L)));
        List<Target> admitted = new ArrayList<>();
        world.setTargetAdmission((target, promptTokens, longestDelay, onDecision) -> {
            admitted.add(target);
            onDecision.accept(new Decision(true, Duration.ofMillis(100)));
            return Cancellable.NOOP;
        });
        world.send(Optional.of(generation()));
        world.restTarget(admitted.get(0).id().value(), Duration.ofSeconds(3));
        world.time().advance(Duration.ofMillis(250));
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(world.targets().lastRequest().target()).isNotSameAs(admitted.get(0));
    }

    // Guards against callers who return too early, since the target that has just refused them was not counted.
    @Test
    void aRequestThatItsLastTargetHasRefusedIsRejectedWithTheTimeThatTheTargetAskedFor() {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a");
        RecordedAnswer answer = world.send();
        world.restTarget("a", Duration.ofSeconds(3));
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isEqualTo("3.00");
    }

    // Guards against callers who wait for an adapter's load at a target that has nothing left of its limit.
    @Test
    void aRequestAsksForPermissionBeforeItsAdapterIsLoaded() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of()));
        world.limitTarget("a", Duration.ZERO);
        world.setLimiter(refusingFirst(new ArrayList<>()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isEqualTo("1.00");
        assertThat(world.adapters().enqueuedLoads()).isEmpty();
    }

    // Guards against losing a permission to other requests of this entry while the adapter is loaded.
    @Test
    void aRequestThatWaitsForItsAdapterKeepsItsPermission() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2).addTarget("a", Map.of("base", Map.of()));
        world.limitTarget("a", Duration.ZERO);
        List<Target> asked = new ArrayList<>();
        world.setLimiter((target, onDecision) -> {
            asked.add(target);
            onDecision.accept(RequestLimiter.Decision.permitted(Duration.ofSeconds(1)));
            return Cancellable.NOOP;
        });
        world.send(Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).hasSize(1);
        world.limitTarget("a", Duration.ofSeconds(5));
        world.time().advance(Duration.ofMillis(300));
        asked.get(0).learnResident(ADAPTER, 1, world.time().nanos());
        world.adapters().notifyWaiters();
        assertThat(asked).hasSize(1);
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    private static RequestHarness harnessWithTwoTargets(double retryRatio) {
        return new RequestHarness(retryRatio)
                .startWithRoute(RetryPolicy.IDEMPOTENT, 2)
                .addTarget("a")
                .addTarget("b");
    }

    // Guards against callers who wait for an answer that a rejected request will not get, and against answers that say
    // "not run" of a request that may have run.
    @ParameterizedTest
    @CsvSource({"false, 503", "true, 502"})
    void aRequestThatMayNotBeRetriedEndsAtOnce(boolean mayHaveRun, int expectedStatus) {
        RequestHarness withoutRetries = harnessWithTwoTargets(0);
        RecordedAnswer answer = withoutRetries.send();
        if (mayHaveRun) {
            withoutRetries.targets().lastRequest().fail(true);
        } else {
            withoutRetries.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        }
        assertThat(withoutRetries.targets().sentRequests()).hasSize(1);
        assertThat(answer.status()).isEqualTo(expectedStatus);
        assertThat(withoutRetries.loggedEvents()).contains("RETRY_DENIED NO_BUDGET");
    }

    // Guards against retries whose answer comes after the caller's time, which take capacity from others. The route
    // allows 10 s.
    @ParameterizedTest
    @CsvSource({"2000, 7000, 2", "2000, 9000, 1"})
    void aPlainRequestIsRetriedOnlyIfItsTargetAnswersInTime(long answerMillis, long rejectedAtMillis, int sends) {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1).addTarget("a").addTarget("b");
        world.send();
        world.time().advance(Duration.ofMillis(answerMillis));
        world.targets().lastRequest().answerHead(200, false);
        world.targets().lastRequest().answerPart("yes");
        world.targets().lastRequest().endAnswer();
        RecordedAnswer answer = world.send();
        world.time().advance(Duration.ofMillis(rejectedAtMillis));
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(world.targets().sentRequests()).hasSize(1 + sends);
        assertThat(answer.isEnded()).isEqualTo(sends == 1);
        assertThat(world.loggedEvents().contains("RETRY_DENIED NO_TIME")).isEqualTo(sends == 1);
    }

    // Guards against prompts that are sent once more to a target that cannot prefill them within the caller's time.
    @ParameterizedTest
    @CsvSource({"9000, 2", "9995, 1"})
    void aPromptIsRetriedOnlyIfItsTargetAnswersInTime(long rejectedAtMillis, int sends) {
        world.startWithRoute(RetryPolicy.AT_MOST_ONCE, 1)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of("a7", 1L)));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().advance(Duration.ofMillis(rejectedAtMillis));
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(world.targets().sentRequests()).hasSize(sends);
        assertThat(answer.isEnded()).isEqualTo(sends == 1);
    }

    // Guards against placements that cannot be explained from the log because the assumed speed is missing.
    @Test
    void theAssumedSpeedOfTheTargetIsLogged() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, 1).addTarget("a");
        world.send();
        world.setSpeeds(target -> new TargetSpeed(1.15, 2.5, true));
        world.send();
        assertThat(world.loggedFields(EventCode.REQUEST_PLACED)).hasSize(2);
        assertThat(world.loggedFields(EventCode.REQUEST_PLACED).get(0)).doesNotContainKeys("relativeRate", "slowdown");
        assertThat(world.loggedFields(EventCode.REQUEST_PLACED).get(1))
                .containsEntry("relativeRate", 1.15)
                .containsEntry("slowdown", 2.5);
    }
}
