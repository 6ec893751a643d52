package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.FakeOwners;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.OrderedOwners;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Replaces silent attempts by others, which fail as well. */
class ReplacedAttemptTest {

    private static final int MAXIMUM_TARGETS = 3;
    private static final double NO_RETRIES = 0;
    private static final double AMPLE_RETRIES = 100;
    private static final double RATIO_OF_ONE_RETRY_FOR_TWO_REQUESTS = 1;
    private static final Duration NEXT_EVENT_TIMEOUT =
            ExchangeSettings.defaults().nextEventTimeout();
    private static final Duration FIRST_EVENT_TIMEOUT =
            ExchangeSettings.defaults().firstEventTimeout();
    private static final Duration IDEMPOTENT_TIMEOUT = Duration.ofNanos((long)
            (RequestHarness.TIMEOUT.toNanos() * ExchangeSettings.defaults().silenceTimeFraction()));
    private static final GatewayRequest.Generation GENERATION = new GatewayRequest.Generation(
            "base", Optional.of(new AdapterName("base", "a7")), 100, 50, OptionalLong.empty(), List.of());

    private final RequestHarness world = new RequestHarness(AMPLE_RETRIES);

    /** How a target takes nothing of a request. */
    private enum Untaken {
        NOT_SENT {
            @Override
            boolean connects() {
                return false;
            }

            @Override
            void answer(SentRequest sent) {
                sent.fail(false);
            }
        },
        NOT_RESIDENT {
            @Override
            void answer(SentRequest sent) {
                sent.answerNotExecuted(NotExecuted.NOT_RESIDENT);
            }
        },
        ANOTHER_TARGET {
            @Override
            void answer(SentRequest sent) {
                sent.answerNotExecuted(NotExecuted.ANOTHER_TARGET);
            }
        };

        boolean connects() {
            return true;
        }

        abstract void answer(SentRequest sent);
    }

    /** Guards against an answer that ends since the target that was to take it over takes nothing. */
    @ParameterizedTest
    @EnumSource
    void anAnswerOutlivesATargetThatDoesNotTakeItOver(Untaken untaken) {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of("a7", 1L)));
        RecordedAnswer answer =
                BegunStream.start(world, Optional.of(GENERATION)).answer();
        world.targets().setConnecting(untaken.connects());
        world.time().advance(NEXT_EVENT_TIMEOUT.plusMillis(100));
        assertThat(world.targets().sentRequests()).hasSize(2);
        untaken.answer(world.targets().lastRequest());
        world.time().advance(Duration.ofSeconds(3));
        assertThat(answer.isEnded()).isFalse();
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    /** Guards against an answer that leaves its silent target for one that is silent as well. */
    @Test
    void anAnswerIsNotMovedToATargetThatIsKnownToBeSilent() {
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        BegunStream.start(world);
        BegunStream.start(world);
        List<SentRequest> sent = List.copyOf(world.targets().sentRequests());
        assertThat(sent).extracting(SentRequest::target).doesNotHaveDuplicates();
        world.time().advance(NEXT_EVENT_TIMEOUT.plusMillis(500));
        assertThat(sent).noneMatch(SentRequest::isCancelled);
    }

    /** Guards against a target that hangs requests and is never ejected, since it has answered another one. */
    @Test
    void requestsThatHangOnCountAsFailuresAfterAnotherIsAnswered() {
        int hangs = 6;
        RequestHarness withoutRetries = new RequestHarness(NO_RETRIES);
        withoutRetries
                .startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a");
        for (int request = 0; request < hangs; request++) {
            withoutRetries.send();
        }
        withoutRetries.time().advance(Duration.ofSeconds(1));
        withoutRetries.send();
        SentRequest answered = withoutRetries.targets().lastRequest();
        withoutRetries.addTarget("b").addTarget("c");
        withoutRetries.time().advance(FIRST_EVENT_TIMEOUT.minusMillis(900));
        answered.answerHead(200, true);
        for (int event = 1; event <= 10; event++) {
            answered.answerPart("id: " + event + "\ndata: x\n\n");
            withoutRetries.time().advance(Duration.ofMillis(180));
        }
        int sentBefore = withoutRetries.targets().sentRequests().size();
        assertThat(sentBefore).isEqualTo(hangs + 1);
        for (int request = 0; request < 5 * hangs; request++) {
            withoutRetries.send();
        }
        assertThat(withoutRetries.targets().sentRequests().subList(sentBefore, sentBefore + 5 * hangs))
                .noneMatch(sent -> sent.target() == answered.target());
    }

    /** Guards against a request that waits for its turn at a target, and is sent though the target has fallen silent meanwhile. */
    @Test
    void aRequestIsNotSentToATargetThatFellSilentWhileItWaited() {
        List<Runnable> decisions = new ArrayList<>();
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        BegunStream.start(world);
        world.time().advance(Duration.ofMillis(50));
        SentRequest atSilent = BegunStream.start(world).sent();
        world.setLimiter((target, callback) -> {
            decisions.add(() -> callback.accept(RequestLimiter.Decision.UNLIMITED));
            return () -> {};
        });
        world.time().advance(NEXT_EVENT_TIMEOUT.minusMillis(25));
        world.addTarget("c");
        world.time().advance(Duration.ofMillis(50));
        List.copyOf(decisions).forEach(Runnable::run);
        List<SentRequest> sent = world.targets().sentRequests();
        assertThat(sent.subList(2, sent.size())).noneMatch(each -> each.target() == atSilent.target());
    }

    /** Guards against two decisions that one request waits for, of which one is made for nothing. */
    @Test
    void aSilentAttemptThatFailsLeavesNoOldDecisionPending() {
        AtomicInteger pending = new AtomicInteger();
        List<Runnable> decisions = new ArrayList<>();
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS).addTarget("a");
        SentRequest sent = BegunStream.start(world).sent();
        world.addTarget("b");
        world.setLimiter((target, callback) -> {
            pending.incrementAndGet();
            decisions.add(() -> callback.accept(RequestLimiter.Decision.UNLIMITED));
            return pending::decrementAndGet;
        });
        world.time().advance(NEXT_EVENT_TIMEOUT.plusMillis(100));
        assertThat(pending).hasValue(1);
        sent.fail(true);
        assertThat(pending).hasValue(1);
    }

    /** Guards against an answer that ends for a rejection that was made while its target was silent, and is outdated. */
    @Test
    void anOwnerThatRejectedASilentAnswerIsAskedAgainLater() {
        FakeOwners owners = new FakeOwners();
        owners.decide("a", TargetAdmission.Decision.IMMEDIATE);
        world.setTargetAdmission(owners);
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)));
        BegunStream stream = BegunStream.start(world, Optional.of(GENERATION));
        SentRequest sent = stream.sent();
        world.addTarget("b", Map.of("base", Map.of("a7", 1L)));
        owners.reject("a", Duration.ofMillis(500), Reason.QUEUE_FULL, false);
        owners.reject("b", Duration.ofMillis(500), Reason.QUEUE_FULL, false);
        world.time().advance(NEXT_EVENT_TIMEOUT.plusMillis(100));
        assertThat(sent.isCancelled()).isFalse();
        owners.decide("a", TargetAdmission.Decision.IMMEDIATE);
        owners.decide("b", TargetAdmission.Decision.IMMEDIATE);
        sent.answerPart("id: 2\ndata: y\n\n");
        world.time().advance(Duration.ofSeconds(1));
        sent.fail(true);
        world.time().advance(Duration.ofSeconds(1));
        assertThat(stream.answer().isEnded()).isFalse();
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    /** Lets prompts wait at their targets, and admits the last one as the admission of the first ends. */
    private static final class LinkedAdmissions implements OrderedOwners {
        private final List<Consumer<Decision>> waiting = new ArrayList<>();
        private boolean holding;
        private boolean firstRequested;

        @Override
        public Admission request(Target target, String id, AdmissionRequest request, Consumer<Decision> callback) {
            boolean first = !firstRequested;
            firstRequested = true;
            if (holding) {
                waiting.add(callback);
            } else {
                callback.accept(Decision.IMMEDIATE);
            }
            return () -> {
                if (first && waiting.size() > 1) {
                    waiting.remove(waiting.size() - 1).accept(Decision.IMMEDIATE);
                }
            };
        }
    }

    /** Guards against more retries than are allowed, where the end of one request's admission lets another one be sent. */
    @Test
    void aRetryCountsBeforeTheEndOfTheOldAdmissionAllowsAnother() {
        RequestHarness withOneRetry = new RequestHarness(RATIO_OF_ONE_RETRY_FOR_TWO_REQUESTS);
        LinkedAdmissions admissions = new LinkedAdmissions();
        withOneRetry.setTargetAdmission(admissions);
        Map<String, Map<String, Long>> models = Map.of("base", Map.of("a7", 1L));
        withOneRetry
                .startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a", models);
        BegunStream.start(withOneRetry, Optional.of(GENERATION));
        BegunStream.start(withOneRetry, Optional.of(GENERATION));
        admissions.holding = true;
        withOneRetry.addTarget("b", models);
        withOneRetry.time().advance(NEXT_EVENT_TIMEOUT.plusMillis(10));
        assertThat(admissions.waiting).hasSize(2);
        admissions.waiting.get(0).accept(TargetAdmission.Decision.IMMEDIATE);
        assertThat(withOneRetry.targets().sentRequests()).hasSize(3);
    }

    /** Guards against part of a silent target's answer that the caller takes for a whole one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void partOfAFailureIsNotCompletedOnceItsTargetIsLost(boolean stream) {
        world.startWithRoute(stream ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        RecordedAnswer answer = world.send();
        SentRequest first = world.targets().lastRequest();
        first.answerHead(500, false);
        if (stream) {
            first.answerPart("part of a fail");
        }
        world.time().advance(stream ? NEXT_EVENT_TIMEOUT.plusMillis(1) : IDEMPOTENT_TIMEOUT.plusMillis(1));
        SentRequest second = world.targets().lastRequest();
        assertThat(second).isNotSameAs(first);
        assertThat(first.isCancelled()).isTrue();
        second.answerNotExecuted(NotExecuted.SHED);
        SentRequest third = world.targets().lastRequest();
        assertThat(third.target()).isSameAs(first.target());
        third.fail(true);
        assertThat(answer.isEnded()).isTrue();
        assertThat(answer.status()).isEqualTo(502);
    }

    /** Guards against "not run" after a run at the same target that has since rejected the request. */
    @Test
    void aLaterRejectionDoesNotHideAnEarlierRun() {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        RecordedAnswer answer = world.send();
        SentRequest first = world.targets().lastRequest();
        world.time().advance(IDEMPOTENT_TIMEOUT.plusMillis(1));
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        SentRequest again = world.targets().lastRequest();
        assertThat(again).isNotSameAs(first);
        assertThat(again.target()).isSameAs(first.target());
        again.answerNotExecuted(NotExecuted.SHED);
        world.time().advance(RequestHarness.TIMEOUT);
        assertThat(answer.status()).isGreaterThanOrEqualTo(502).isNotEqualTo(503);
    }

    /** Guards against a request that leaves its silent target for one of another version before that has taken it. */
    @ParameterizedTest
    @EnumSource
    void aRequestOutlivesATargetOfAnotherVersionThatDoesNotTakeItOver(Untaken untaken) {
        world.startWithRoute(RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a", SoftwareVersion.of("v1"), Map.of());
        RecordedAnswer answer = world.send();
        SentRequest first = world.targets().lastRequest();
        world.addTarget("b", SoftwareVersion.of("v2"), Map.of());
        world.targets().setConnecting(untaken.connects());
        world.time().advance(IDEMPOTENT_TIMEOUT.plusMillis(1));
        SentRequest second = world.targets().lastRequest();
        assertThat(second).isNotSameAs(first);
        untaken.answer(second);
        List<SentRequest> open = world.targets().openRequests();
        assertThat(open).hasSize(1);
        open.get(0).answerHead(200, false);
        open.get(0).answerPart("whole");
        open.get(0).endAnswer();
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.status()).isEqualTo(200);
    }

    /** Guards against an answer that stays at a lost target, since another one that was chosen first has sent nothing of late either. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "d", "e", "f", "g", "h"})
    void anAnswerPassesOverATargetWithoutASignForOneThatIsFree(String free) {
        Map<String, Map<String, Long>> models = Map.of("base", Map.of("a7", 1L));
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS).addTarget("a", models);
        world.send(Optional.of(GENERATION));
        BegunStream.begin(world.targets().lastRequest());
        world.time().advance(Duration.ofMillis(300));
        world.addTarget("b", models);
        world.restTarget("a", Duration.ofSeconds(1));
        world.send(Optional.of(GENERATION));
        world.restTarget("a", Duration.ZERO);
        world.addTarget(free, models);
        world.time().advance(NEXT_EVENT_TIMEOUT.minusMillis(299));
        assertThat(world.targets().sentRequests())
                .extracting(sent -> sent.target().id().value())
                .containsExactly("a", "b", free);
    }
}
