package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.testing.FakeOwners;
import org.geraniumreach.gateway.testing.OrderedOwners;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs requests whose targets' owners order them; a test decides for the owners. */
class OrderedExchangeTest {

    private static final Duration SHORT_RETRY = Duration.ofMillis(900);

    private final RequestHarness world = new RequestHarness();
    private final FakeOwners owners = new FakeOwners();

    OrderedExchangeTest() {
        world.setTargetAdmission(owners);
        world.startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);
    }

    private static GatewayRequest.Generation generation() {
        return generation(OptionalLong.empty());
    }

    private static GatewayRequest.Generation generation(OptionalLong lengthHint) {
        return new GatewayRequest.Generation(
                "base", Optional.of(new AdapterName("base", "a7")), 100, 50, lengthHint, List.of());
    }

    private void addResidents(String... names) {
        for (String name : names) {
            world.addTarget(name, Map.of("base", Map.of("a7", 1L)));
        }
    }

    /** Guards against owners that order requests by other urgencies than targets are told, or without the account. */
    @Test
    void theOwnerIsToldWhatTheOrderDependsOn() {
        addResidents("a");
        world.time().advance(Duration.ofMillis(1));
        world.receive(new RecordedAnswer(), RequestHarness.URGENT_KEY, Optional.of(generation()));
        world.send(Optional.of(generation()));
        AdmissionRequest urgent = owners.asked().get(0).request();
        AdmissionRequest normal = owners.asked().get(1).request();
        assertThat(urgent.urgency()).isLessThan(normal.urgency());
        assertThat(urgent.account()).map(Object::toString).hasValue("urgent");
        assertThat(normal.promptTokens()).isEqualTo(100);
        assertThat(normal.objectiveLeft()).isEqualTo(Duration.ofMillis(800));
        owners.last().admit();
        assertThat(world.targets().lastRequest().metadata().urgency()).isEqualTo(normal.urgency());
    }

    /** Guards against hints that are far off, which would keep other requests from the memory of a target. */
    @ParameterizedTest
    @CsvSource({"20, 20", "500, 50", ", 50"})
    void theExpectedLengthIsTheHintWithinTheStatedMaximum(Long hint, long expected) {
        addResidents("a");
        world.send(Optional.of(generation(hint == null ? OptionalLong.empty() : OptionalLong.of(hint))));
        assertThat(owners.last().request().outputTokens()).isEqualTo(expected);
    }

    /** Guards against sending a request that waits, and against an order that the entry does not keep to. */
    @Test
    void requestsAreSentInTheOrderInWhichTheyAreAdmitted() {
        addResidents("a");
        world.send(Optional.of(generation()));
        world.receive(new RecordedAnswer(), RequestHarness.URGENT_KEY, Optional.of(generation()));
        assertThat(world.targets().sentRequests()).isEmpty();
        owners.asked().get(1).admit();
        owners.asked().get(0).admit();
        assertThat(world.targets().sentRequests())
                .extracting(sent -> sent.metadata().urgency())
                .isSorted()
                .hasSize(2);
    }

    /** Guards against sending what owners have rejected, and against callers who return too early or too late. */
    @Test
    void aRequestThatThreeOwnersHaveRejectedIsRefusedWithTheShortestTime() {
        addResidents("a", "b", "c", "d");
        for (String target : List.of("a", "b", "c", "d")) {
            owners.reject(target, Duration.ofSeconds(2), Reason.DISPLACED, false);
        }
        world.send(Optional.of(generation()));
        String second = owners.asked().get(1).target().id().value();
        owners.asked().clear();
        owners.reject(second, SHORT_RETRY, Reason.QUEUE_FULL, false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isEqualTo("0.90");
        assertThat(answer.text()).contains("OVERLOADED");
        assertThat(owners.asked()).hasSize(3);
        assertThat(owners.asked())
                .extracting(asked -> asked.target().id().value())
                .doesNotHaveDuplicates();
        assertThat(world.targets().sentRequests()).isEmpty();
    }

    /** Guards against requests that are never refused, since fewer than three targets have their adapter. */
    @ParameterizedTest
    @EnumSource(Reason.class)
    void aRequestIsRefusedOnceAllTargetsHaveRejectedIt(Reason reason) {
        addResidents("a");
        owners.reject("a", SHORT_RETRY, reason, false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(owners.asked()).hasSize(1);
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against rejecting urgent requests while less urgent ones wait. */
    @Test
    void aRequestWaitsAtItsLastTargetIfLessUrgentOnesWaitThere() {
        addResidents("a");
        owners.reject("a", SHORT_RETRY, Reason.NO_TIME, true);
        List<Duration> maximumDelays = new ArrayList<>();
        OrderedOwners rejectingOnce = (target, requestId, request, callback) -> {
            maximumDelays.add(request.maximumDelay());
            if (maximumDelays.size() > 1) {
                owners.clearDecisions();
            }
            return owners.request(target, requestId, request, callback);
        };
        world.setTargetAdmission(rejectingOnce);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(maximumDelays).hasSize(2);
        assertThat(maximumDelays.get(1)).isGreaterThan(Duration.ofSeconds(9));
        world.time().advance(Duration.ofSeconds(2));
        assertThat(answer.isEnded()).isFalse();
        owners.last().admit();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against requests that wait in vain until their callers give up. */
    @Test
    void aRequestIsRefusedIfItsTimeCannotSuffice() {
        addResidents("a");
        owners.reject("a", RequestHarness.TIMEOUT, Reason.NO_TIME, true);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isEqualTo("10.00");
    }

    /** Guards against rounds of rejections of a request that waits at its last target. */
    @Test
    void aRequestWaitsAtItsLastTargetOnceOnly() {
        addResidents("a");
        owners.reject("a", SHORT_RETRY, Reason.NO_TIME, true);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(owners.asked()).hasSize(2);
    }

    /** Guards against requests that are refused only because owners of an earlier version would pace them. */
    @Test
    void aRequestThatOnlyPacingOwnersHaveRefusedIsSent() {
        addResidents("a");
        owners.decide("a", TargetAdmission.Decision.SATURATED);
        world.send(Optional.of(generation()));
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** The ways in which a request that was admitted or waits can end. */
    enum End {
        ANSWERED,
        FAILED,
        NOT_EXECUTED,
        CALLER_GONE,
        CALLER_GONE_WHILE_QUEUED,
        TIME_UP_WHILE_QUEUED
    }

    /** Guards against capacity that stays occupied at the owner, and against sending a request twice. */
    @ParameterizedTest
    @EnumSource(End.class)
    void eachAdmissionIsEndedOnceHoweverTheRequestEnds(End end) {
        addResidents("a");
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable caller = world.receive(answer, RequestHarness.KEY, Optional.of(generation()));
        boolean queued = end == End.CALLER_GONE_WHILE_QUEUED || end == End.TIME_UP_WHILE_QUEUED;
        if (!queued) {
            owners.last().admit();
            assertThat(owners.last().ends()).isZero();
        }
        switch (end) {
            case ANSWERED -> {
                world.targets().lastRequest().answerHead(200, true);
                world.targets().lastRequest().answerPart("id: 1\ndata: x\n\n");
                world.targets().lastRequest().endAnswer();
            }
            case FAILED -> world.targets().lastRequest().fail(true);
            case NOT_EXECUTED -> world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
            case TIME_UP_WHILE_QUEUED -> world.time().advance(RequestHarness.TIMEOUT.plusMillis(1));
            default -> caller.cancel();
        }
        world.time().advance(RequestHarness.TIMEOUT.plusMillis(1));
        assertThat(owners.asked()).extracting(FakeOwners.Asked::ends).containsOnly(1);
        assertThat(world.targets().sentRequests()).hasSize(queued ? 0 : 1);
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against capacity that stays occupied at the first owner while the request runs elsewhere. */
    @Test
    void aRequestThatIsSentElsewhereEndsItsFirstAdmission() {
        addResidents("a", "b");
        world.send(Optional.of(generation()));
        owners.last().admit();
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        assertThat(owners.asked()).hasSize(2);
        assertThat(owners.asked().get(0).ends()).isEqualTo(1);
        owners.last().admit();
        assertThat(owners.last().ends()).isZero();
        assertThat(world.targets().openRequests()).hasSize(1);
    }

    /** Guards against capacity that stays occupied while the request waits for its adapter. */
    @Test
    void aRequestThatWaitsForItsAdapterHoldsNoAdmission() {
        addResidents("a");
        world.send(Optional.of(generation()));
        owners.last().admit();
        world.targets().lastRequest().answerNotExecuted(NotExecuted.NOT_RESIDENT);
        assertThat(world.adapters().enqueuedLoads()).contains("a a7");
        assertThat(owners.asked()).hasSize(1);
        assertThat(owners.last().ends()).isEqualTo(1);
    }

    /** Guards against owners that order adapter loads without the priorities of the requests that wait for them. */
    @Test
    void loadsAreRequestedWithThePriorityOfTheRequest() {
        world.addTarget("a", Map.of("base", Map.of()));
        world.receive(new RecordedAnswer(), RequestHarness.URGENT_KEY, Optional.of(generation()));
        world.receive(new RecordedAnswer(), RequestHarness.KEY, Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).containsExactly("a a7", "a a7");
        assertThat(world.adapters().priorities())
                .extracting(priority -> priority.account().orElseThrow().value())
                .containsExactly("urgent", "acme");
        assertThat(world.adapters().priorities())
                .extracting(RequestPriority::urgency)
                .isSorted()
                .doesNotHaveDuplicates();
    }

    /** Guards against priorities of loads in deployments whose requests are not ordered. */
    @Test
    void loadsAreRequestedWithoutPriorityIfRequestsAreNotOrdered() {
        world.setTargetAdmission(TargetAdmission.unpaced());
        world.addTarget("a", Map.of("base", Map.of()));
        world.send(Optional.of(generation()));
        assertThat(world.adapters().enqueuedLoads()).containsExactly("a a7");
        assertThat(world.adapters().priorities()).isEmpty();
    }
}
