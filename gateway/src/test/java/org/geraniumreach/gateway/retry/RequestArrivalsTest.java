package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests whose arrival is not known, one retry of which is allowed in a window. */
class RequestArrivalsTest {

    private static final String SERVICE = "service";
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration ENOUGH_TIME = Duration.ofSeconds(5);
    private static final RepeatLimits ONE_RETRY = new RepeatLimits(0, 2, WINDOW);
    private static final TargetSignals SIGNALS =
            new TargetSignals(Optional.empty(), Optional.empty(), false, true, Optional.empty());

    private final RequestHarness harness = new RequestHarness().addTarget("a").addTarget("b");
    private final VirtualTime time = harness.time();
    private final RetryBudgets budgets = new RetryBudgets(ONE_RETRY, (service, limit) -> limit, time);
    private final Target first = harness.registry().findByService(SERVICE).get(0);
    private final Target second = harness.registry().findByService(SERVICE).get(1);

    RequestArrivalsTest() {
        budgets.receive(SERVICE, time.nanos());
        time.advance(WINDOW.plus(ServiceRetryBudget.DISCOVERY_TIME));
    }

    private boolean isRetryAllowed() {
        return budgets.decide(SERVICE, ENOUGH_TIME, Optional.empty()).granted();
    }

    private int unresolvedRetries() {
        return budgets.decide(SERVICE, ENOUGH_TIME, Optional.empty()).unresolvedRetries();
    }

    static Stream<Arguments> outcomes() {
        Consumer<Sending> arrived = Sending::onArrived;
        Consumer<Sending> abandoned = Sending::onAbandoned;
        Consumer<Sending> notSent = Sending::onNotSent;
        return Stream.of(
                Arguments.of(arrived, arrived, false, true),
                Arguments.of(arrived, notSent, true, true),
                Arguments.of(notSent, arrived, true, true),
                Arguments.of(arrived, abandoned, false, false),
                Arguments.of(abandoned, arrived, false, false),
                Arguments.of(abandoned, abandoned, false, false),
                Arguments.of(abandoned, notSent, true, true));
    }

    /** Guards against retries that are forgotten while they, or the first sending, may still arrive, and against counting what cannot arrive. */
    @ParameterizedTest
    @MethodSource("outcomes")
    void aRetryCountsUntilAWindowAfterTheLastPossibleArrival(
            Consumer<Sending> ofFirst, Consumer<Sending> ofSecond, boolean allowedNow, boolean allowedAfterWindow) {
        RequestArrivals request = budgets.receive(SERVICE, time.nanos());
        ofFirst.accept(request.send(first));
        ofSecond.accept(request.send(second));
        assertThat(isRetryAllowed()).isEqualTo(allowedNow);
        time.advance(WINDOW.plusMillis(300));
        assertThat(isRetryAllowed()).isEqualTo(allowedAfterWindow);
    }

    /** Guards against retries that count for ever although the target has answered, or although nothing arrives after so long. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAbandonedSendingIsResolvedByALaterAnswerOfItsTargetOrByTime(boolean answered) {
        RequestArrivals request = budgets.receive(SERVICE, time.nanos());
        request.send(first).onAbandoned();
        request.send(second).onArrived();
        if (answered) {
            budgets.onCall(first).accept(SIGNALS);
        } else {
            time.advance(AbandonedSendings.MAXIMUM_DELIVERY_TIME);
        }
        assertThat(unresolvedRetries()).isZero();
        assertThat(isRetryAllowed()).isFalse();
        time.advance(WINDOW.plusMillis(300));
        assertThat(isRetryAllowed()).isTrue();
    }

    /** Guards against an answer that was under way before the target was paused, and against the answers of another target. */
    @Test
    void answersToEarlierCallsAndOfOtherTargetsResolveNothing() {
        Consumer<TargetSignals> earlierCall = budgets.onCall(first);
        time.advance(Duration.ofMillis(1));
        RequestArrivals request = budgets.receive(SERVICE, time.nanos());
        request.send(first).onAbandoned();
        request.send(second).onArrived();
        earlierCall.accept(SIGNALS);
        budgets.onCall(second).accept(SIGNALS);
        assertThat(unresolvedRetries()).isEqualTo(1);
    }

    /** Guards against a request of a single sending that counts as a retry when its target wakes. */
    @Test
    void aSingleSendingIsNoRetry() {
        budgets.receive(SERVICE, time.nanos()).send(first).onAbandoned();
        assertThat(isRetryAllowed()).isTrue();
    }

    /** Guards against a further retry that counts the ones before it again. */
    @Test
    void eachRetryCountsOnce() {
        RequestArrivals request = budgets.receive(SERVICE, time.nanos());
        request.send(first).onArrived();
        request.send(second).onArrived();
        time.advance(WINDOW.plusMillis(300));
        Sending third = request.send(first);
        assertThat(unresolvedRetries()).isEqualTo(1);
        third.onNotSent();
        assertThat(isRetryAllowed()).isTrue();
    }

    private void recordSign() {
        time.advance(Duration.ofMillis(1));
        first.recordSign(time.nanos());
    }

    private void readRowWrittenSince() {
        time.advance(Duration.ofSeconds(3));
        harness.registry().put(first.description());
    }

    /** Guards against requests that add up at a paused target, and against a sound one that is not used for as long as they may arrive. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSingleTrialMayFollowAnAbandonedSendingOnceTheTargetHasRun(boolean sign) {
        Runnable run = sign ? this::recordSign : this::readRowWrittenSince;
        budgets.receive(SERVICE, time.nanos()).send(first).onAbandoned();
        assertThat(budgets.mayAccumulate(first)).isTrue();
        run.run();
        assertThat(budgets.mayAccumulate(first)).isFalse();
        Sending trial = budgets.receive(SERVICE, time.nanos()).send(first);
        assertThat(budgets.mayAccumulate(first)).isTrue();
        run.run();
        assertThat(budgets.mayAccumulate(first)).isTrue();
        trial.onAbandoned();
        assertThat(budgets.mayAccumulate(first)).isTrue();
        run.run();
        Consumer<TargetSignals> answered = budgets.onCall(first);
        budgets.receive(SERVICE, time.nanos()).send(first).onArrived();
        answered.accept(SIGNALS);
        budgets.receive(SERVICE, time.nanos()).send(first);
        assertThat(budgets.mayAccumulate(first)).isFalse();
    }

    /** Guards against a row that was written before the target was paused and is read after. */
    @Test
    void aRowThatMayBeOlderThanTheAbandonedSendingAllowsNoTrial() {
        budgets.receive(SERVICE, time.nanos()).send(first).onAbandoned();
        time.advance(Duration.ofSeconds(1));
        harness.registry().put(first.description());
        assertThat(budgets.mayAccumulate(first)).isTrue();
    }

    /** Guards against a second trial, where a request that was permitted earlier is sent beside the first one and does not leave. */
    @Test
    void aRequestThatIsNotSentBesideATrialAllowsNoOther() {
        budgets.receive(SERVICE, time.nanos()).send(first).onAbandoned();
        recordSign();
        budgets.receive(SERVICE, time.nanos()).send(first);
        budgets.receive(SERVICE, time.nanos()).send(first).onNotSent();
        assertThat(budgets.mayAccumulate(first)).isTrue();
    }

    /** Guards against a trial at a target of which nothing is known but that a request was to be sent there. */
    @Test
    void aRequestThatIsNotSentIsNoSignOfItsTarget() {
        budgets.receive(SERVICE, time.nanos()).send(first).onAbandoned();
        time.advance(Duration.ofMillis(1));
        Sending permitted = budgets.receive(SERVICE, time.nanos()).send(first);
        first.onRequestSent(0, time.nanos());
        permitted.onNotSent();
        first.onRequestEnded();
        assertThat(budgets.mayAccumulate(first)).isTrue();
    }
}
