package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests to sound targets that fall silent for a while and go on. */
class SilentTargetTest {

    private static final int MAXIMUM_TARGETS = 3;
    private static final double NO_RETRIES = 0;
    private static final double AMPLE_RETRIES = 100;
    private static final GatewayRequest.Generation GENERATION = new GatewayRequest.Generation(
            "base", Optional.of(new AdapterName("base", "a7")), 100, 50, OptionalLong.empty(), List.of());

    /** Where an answer stops for a while. */
    private enum Place {
        BEFORE_HEAD,
        BEFORE_FIRST_EVENT,
        BETWEEN_EVENTS,
        WITHIN_EVENT,
        BEFORE_END
    }

    private static Stream<Arguments> silences() {
        return Stream.of(RetryPolicy.values()).flatMap(policy -> Stream.of(Place.values())
                .flatMap(place -> Stream.of(500, 1_000, 1_500, 2_000, 3_000, 6_000)
                        .map(millis -> Arguments.of(policy, place, millis))));
    }

    private static RequestHarness twoTargets(RetryPolicy policy) {
        return new RequestHarness(AMPLE_RETRIES)
                .startWithRoute(policy, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
    }

    private static void answer(SentRequest sent, Place place, boolean stream, Runnable silence) {
        pauseAt(Place.BEFORE_HEAD, place, silence);
        sent.answerHead(200, stream);
        pauseAt(Place.BEFORE_FIRST_EVENT, place, silence);
        sent.answerPart("id: 1\ndata: x\n\n");
        pauseAt(Place.BETWEEN_EVENTS, place, silence);
        sent.answerPart("id: 2\nda");
        pauseAt(Place.WITHIN_EVENT, place, silence);
        sent.answerPart("ta: y\n\n");
        pauseAt(Place.BEFORE_END, place, silence);
        sent.endAnswer();
    }

    private static void pauseAt(Place here, Place place, Runnable silence) {
        if (here == place) {
            silence.run();
        }
    }

    private static void answerAfterSilence(RequestHarness world, Place place, boolean stream, long millis) {
        answer(world.targets().lastRequest(), place, stream, () -> world.time().advance(Duration.ofMillis(millis)));
    }

    /** Guards against an answer that ends for its target's silence although no other target may take it over. */
    @ParameterizedTest
    @MethodSource("silences")
    void anAnswerThatCannotMoveWaitsForItsTarget(RetryPolicy policy, Place place, long millis) {
        RequestHarness world = new RequestHarness(NO_RETRIES);
        world.startWithRoute(policy, MAXIMUM_TARGETS).addTarget("a").addTarget("b");
        RecordedAnswer answer = world.send();
        answerAfterSilence(world, place, policy.isStream(), millis);
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against an answer that ends since there is no second target. */
    @ParameterizedTest
    @MethodSource("silences")
    void anAnswerOfTheOnlyTargetWaitsForIt(RetryPolicy policy, Place place, long millis) {
        RequestHarness world = new RequestHarness(AMPLE_RETRIES);
        world.startWithRoute(policy, MAXIMUM_TARGETS).addTarget("a");
        RecordedAnswer answer = world.send();
        answerAfterSilence(world, place, policy.isStream(), millis);
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    }

    /** Guards against two targets that work on one request, and against a request that stays at a target that is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSilentAttemptIsCancelledAsTheNextOneIsSent(boolean stream) {
        RequestHarness world = new RequestHarness(AMPLE_RETRIES);
        world.startWithRoute(stream ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        RecordedAnswer answer = world.send();
        world.time().advance(RequestHarness.TIMEOUT.dividedBy(2));
        List<SentRequest> sent = world.targets().sentRequests();
        assertThat(sent).hasSize(2);
        assertThat(sent.get(0).isCancelled()).isTrue();
        sent.get(1).answerHead(200, stream);
        sent.get(1).answerPart("id: 1\ndata: x\n\n");
        sent.get(1).endAnswer();
        assertThat(answer.isComplete()).isTrue();
    }

    /** Guards against two targets that work on one request for as long as the event loop stands still. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSilentAttemptEndsBeforeTheRequestIsWrittenElsewhere(boolean stream) {
        RequestHarness world = new RequestHarness(AMPLE_RETRIES);
        world.startWithRoute(stream ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b")
                .addTarget("c");
        world.send();
        world.time().advance(RequestHarness.TIMEOUT);
        assertThat(world.targets().sentRequests())
                .hasSizeGreaterThan(1)
                .extracting(SentRequest::workingBeside)
                .containsOnly(0L);
    }

    /** Guards against an answer that ends since the target that was to take it over cannot be reached. */
    @Test
    void anAnswerGoesOnAtItsTargetIfNoOtherCanBeReached() {
        RequestHarness world = twoTargets(RetryPolicy.RESUMABLE_STREAM);
        BegunStream stream = BegunStream.start(world);
        SentRequest first = stream.sent();
        world.targets().setConnecting(false);
        world.time().advance(Duration.ofMillis(1_201));
        SentRequest second = world.targets().lastRequest();
        assertThat(second).isNotSameAs(first);
        world.time().advance(Duration.ofMillis(400));
        second.fail(false);
        first.answerPart("id: 2\ndata: y\n\n");
        first.endAnswer();
        assertThat(stream.answer().isComplete()).isTrue();
        assertThat(stream.answer().text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    }

    /** Guards against an answer that ends since the target that was to take it over refuses it. */
    @Test
    void anAnswerReturnsToItsTargetIfTheOtherRefusesIt() {
        RequestHarness world = twoTargets(RetryPolicy.RESUMABLE_STREAM);
        BegunStream stream = BegunStream.start(world);
        SentRequest first = stream.sent();
        world.time().advance(Duration.ofMillis(1_201));
        SentRequest second = world.targets().lastRequest();
        assertThat(second).isNotSameAs(first);
        second.answerNotExecuted(NotExecuted.SHED);
        SentRequest third = world.targets().lastRequest();
        assertThat(third.target()).isSameAs(first.target());
        assertThat(third.metadata().lastEvent()).hasValue(1);
        third.answerHead(200, true);
        third.answerPart("id: 2\ndata: y\n\n");
        third.endAnswer();
        assertThat(stream.answer().isComplete()).isTrue();
        assertThat(stream.answer().text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    }

    /** Guards against an answer that is begun anew elsewhere although its target goes on before the other one could begin it. */
    @Test
    void aTargetThatGoesOnBeforeTheOtherIsReachedKeepsItsRequest() {
        RequestHarness world = twoTargets(RetryPolicy.RESUMABLE_STREAM);
        BegunStream stream = BegunStream.start(world);
        SentRequest first = stream.sent();
        world.targets().setConnecting(false);
        world.time().advance(Duration.ofMillis(1_300));
        SentRequest second = world.targets().lastRequest();
        first.answerPart("id: 2\ndata: y\n\n");
        assertThat(second).isNotSameAs(first);
        assertThat(second.isCancelled()).isTrue();
        first.endAnswer();
        assertThat(stream.answer().isComplete()).isTrue();
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against a request that two targets get, or none, if the connections to both are opened late. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestIsWrittenToTheTargetThatIsReachedFirst(boolean silentIsReachedFirst) {
        RequestHarness world = twoTargets(RetryPolicy.IDEMPOTENT);
        world.targets().setConnecting(false);
        RecordedAnswer answer = world.send();
        world.time().advance(RequestHarness.TIMEOUT.dividedBy(2));
        List<SentRequest> sent = world.targets().sentRequests();
        assertThat(sent).hasSizeGreaterThanOrEqualTo(2);
        List<SentRequest> open = world.targets().openRequests();
        SentRequest reached = open.get(silentIsReachedFirst ? 0 : open.size() - 1);
        reached.connect();
        List.copyOf(sent).forEach(SentRequest::connect);
        assertThat(sent).filteredOn(SentRequest::isWritten).containsExactly(reached);
        reached.answerHead(200, false);
        reached.answerPart("whole");
        reached.endAnswer();
        assertThat(answer.isComplete()).isTrue();
    }

    /** Guards against events of two targets in one answer. */
    @Test
    void aTargetThatGoesOnAfterTheOtherHasTheRequestIsNotHeard() {
        RequestHarness world = twoTargets(RetryPolicy.RESUMABLE_STREAM);
        BegunStream stream = BegunStream.start(world);
        SentRequest first = stream.sent();
        world.time().advance(Duration.ofMillis(1_201));
        assertThat(first.isCancelled()).isTrue();
        first.answerPart("id: 2\ndata: y\n\n");
        first.endAnswer();
        SentRequest second = world.targets().lastRequest();
        second.answerHead(200, true);
        second.answerPart("id: 2\ndata: z\n\n");
        second.endAnswer();
        assertThat(stream.answer().isComplete()).isTrue();
        assertThat(stream.answer().text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: z\n\n");
    }

    /** Guards against requests that are refused since the only target with their model is silent while others are not. */
    @Test
    void aRequestIsSentToTheOnlyTargetWithItsModelAlsoIfThatIsSilent() {
        RequestHarness world = new RequestHarness(NO_RETRIES);
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b");
        world.send(Optional.of(GENERATION));
        world.time().advance(Duration.ofMillis(1_600));
        world.send(Optional.of(GENERATION));
        world.time().advance(Duration.ofMillis(200));
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against a successor that is cancelled since its silent predecessor refuses the request. */
    @Test
    void aSilentTargetThatRefusesLeavesTheRequestToItsSuccessor() {
        RequestHarness world = new RequestHarness(AMPLE_RETRIES);
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b");
        RecordedAnswer answer = world.send();
        SentRequest first = world.targets().lastRequest();
        world.time().advance(Duration.ofMillis(1_501));
        SentRequest second = world.targets().lastRequest();
        first.answerNotExecuted(NotExecuted.SHED);
        assertThat(second.isOpen()).isTrue();
        second.answerHead(200, true);
        second.endAnswer();
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against a silent target that is given up while another one is loading what the request needs. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerGoesOnWhileAnotherTargetIsPrepared(boolean targetGoesOn) {
        // The other target holds the model alone, and the adapter is never loaded there.
        RequestHarness world = new RequestHarness(AMPLE_RETRIES);
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, MAXIMUM_TARGETS)
                .addTarget("a", Map.of("base", Map.of("a7", 1L)))
                .addTarget("b", Map.of("base", Map.of()));
        BegunStream stream = BegunStream.start(world, Optional.of(GENERATION));
        SentRequest sent = stream.sent();
        world.time().advance(Duration.ofSeconds(2));
        assertThat(sent.isCancelled()).isFalse();
        assertThat(world.adapters().enqueuedLoads()).contains("b a7");
        if (targetGoesOn) {
            sent.answerPart("id: 2\ndata: y\n\n");
            sent.endAnswer();
            assertThat(stream.answer().isComplete()).isTrue();
            assertThat(world.openExchanges()).isZero();
        } else {
            world.time().advance(Duration.ofSeconds(4));
            assertThat(stream.answer().isEnded()).isFalse();
            assertThat(world.loggedFields(EventCode.REQUEST_FAILED)).isEmpty();
        }
    }
}
