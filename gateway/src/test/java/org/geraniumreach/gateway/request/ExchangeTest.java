package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestWorld;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RepeatRule;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExchangeTest {

    private static final AdapterName ADAPTER = new AdapterName("base", "a7");

    private final RequestWorld world = new RequestWorld();

    @Test
    void aWholeAnswerIsPassedOnWithItsStatusAndHeaders() {
        world.route(RepeatRule.ONCE, 1).target("a");
        RecordedAnswer answer = world.send();
        world.targets().last().head(201, false);
        world.targets().last().part("booked");
        world.targets().last().end();
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.text()).isEqualTo("booked");
        assertThat(answer.header("Seal")).isEqualTo("a");
        assertThat(answer.isWhole()).isTrue();
    }

    // The caller of a booking gets 502. The target took the request and the connection broke; it may have booked. Sent
    // elsewhere, the motor would have two tickets, so no other target sees it although one is free.
    @Test
    void aRequestThatMayRunOnceIsNotSentAgainAfterItsConnectionBroke() {
        world.route(RepeatRule.ONCE, 2).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().failed(true);
        assertThat(world.targets().sent()).hasSize(1);
        assertThat(answer.status()).isEqualTo(502);
    }

    // The caller gets its booking. The first target was full and said that it had not run the request, so the second
    // may.
    @ParameterizedTest
    @EnumSource(
            value = NotExecuted.class,
            names = {"SHED", "ANOTHER_TARGET"})
    void aRequestThatWasNotExecutedGoesToAnotherTarget(NotExecuted why) {
        world.route(RepeatRule.ONCE, 1).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().notExecuted(why);
        assertThat(world.targets().sent()).hasSize(2);
        world.targets().last().head(200, false);
        world.targets().last().end();
        assertThat(answer.isWhole()).isTrue();
    }

    // The caller is told at once to come back, and that nothing ran: the only target was never reached.
    @Test
    void whatNeverReachedATargetIsRefusedAsNotRunWithATimeToComeBack() {
        world.route(RepeatRule.ONCE, 1).target("a");
        RecordedAnswer answer = world.send();
        world.targets().last().failed(false);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(answer.isWhole()).isTrue();
    }

    @Test
    void anIdempotentRequestIsSentAgainAfterItsConnectionBroke() {
        world.route(RepeatRule.IDEMPOTENT, 2).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().failed(true);
        assertThat(world.targets().sent()).hasSize(2);
        assertThat(world.targets().sent().get(0).target())
                .isNotSameAs(world.targets().last().target());
        world.targets().last().head(200, false);
        world.targets().last().end();
        assertThat(answer.status()).isEqualTo(200);
    }

    // The caller gets the last target's own failure. Both targets that the route allows have run the request and
    // failed.
    @Test
    void noMoreTargetsRunARequestThanItsRouteAllows() {
        world.route(RepeatRule.IDEMPOTENT, 2).target("a").target("b").target("c");
        RecordedAnswer answer = world.send();
        for (int run = 0; run < 2; run++) {
            world.targets().last().head(500, false);
            world.targets().last().part("no");
            world.targets().last().end();
        }
        assertThat(world.targets().sent()).hasSize(2);
        assertThat(answer.status()).isEqualTo(500);
        assertThat(answer.text()).isEqualTo("no");
    }

    // The caller sees one stream without a gap. The first target dies within the third event; the second goes on after
    // the
    // second event, the last one that was whole; the head stays the first target's.
    @Test
    void aStreamThatMayBeResumedGoesOnAfterTheLastWholeEvent() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().head(200, true);
        world.targets().last().part("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda");
        String first = world.targets().last().target().id().value();
        world.targets().last().failed(true);
        assertThat(world.targets().last().envelope().lastEvent()).hasValue(2);
        world.targets().last().head(200, true);
        world.targets().last().part("id: 3\ndata: z\n\n");
        world.targets().last().end();
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n");
        assertThat(answer.header("Seal")).isEqualTo(first);
        assertThat(answer.heads()).isEqualTo(1);
        assertThat(answer.isWhole()).isTrue();
    }

    // The caller sees its stream cut, not ended: the target died midway and the stream may run once only.
    @Test
    void aStreamThatMayRunOnceIsCutWhenItsTargetDies() {
        world.route(RepeatRule.ONCE_STREAM, 2).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().head(200, true);
        world.targets().last().part("id: 1\ndata: x\n\n");
        world.targets().last().failed(true);
        assertThat(answer.isCut()).isTrue();
        assertThat(world.targets().sent()).hasSize(1);
    }

    // The caller never sees an event twice: the second target repeats the last one, so its stream is not joined on.
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: x\n\n", "id: 3\ndata: z\n\n"})
    void anEventThatDoesNotFollowIsNotPassedOn(String event) {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a").target("b");
        RecordedAnswer answer = world.send();
        world.targets().last().head(200, true);
        world.targets().last().part("id: 1\ndata: x\n\n");
        world.targets().last().failed(true);
        world.targets().last().head(200, true);
        world.targets().last().part(event);
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\n");
        assertThat(answer.isCut()).isTrue();
    }

    // The caller of a stream gets its events from the second target: the first one took the request and went silent.
    @Test
    void aSilentTargetLosesAStreamThatMayBeResumed() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a").target("b");
        world.send();
        world.time().pass(ExchangeSettings.defaults().firstEventTimeout().plusMillis(1));
        assertThat(world.targets().sent().get(0).isCancelled()).isTrue();
        assertThat(world.targets().open()).hasSize(1);
    }

    // The target stops working as soon as the caller has gone, and nobody is answered.
    @Test
    void theTargetIsCalledOffWhenTheCallerGoes() {
        world.route(RepeatRule.ONCE, 1).target("a");
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable caller = world.receive(answer, RequestWorld.KEY, Optional.empty());
        caller.cancel();
        assertThat(world.targets().last().isCancelled()).isTrue();
        assertThat(answer.isOver()).isFalse();
        assertThat(world.openExchanges()).isZero();
    }

    // The caller gets its final answer at the route's time. The target has the request still, so "not run" is not said.
    @Test
    void theRoutesTimeEndsARequestThatATargetHasAsUnknown() {
        world.route(RepeatRule.ONCE, 1).target("a");
        RecordedAnswer answer = world.send();
        world.time().pass(RequestWorld.TIMEOUT.plusMillis(1));
        assertThat(answer.status()).isEqualTo(504);
        assertThat(world.targets().last().isCancelled()).isTrue();
    }

    @Test
    void anUnknownKeyIsRefusedWithoutATarget() {
        world.route(RepeatRule.ONCE, 1).target("a");
        RecordedAnswer answer = new RecordedAnswer();
        world.receive(answer, "another-key", Optional.empty());
        assertThat(answer.status()).isEqualTo(401);
        assertThat(world.targets().sent()).isEmpty();
    }

    // The caller is told to come back, never that its route or key does not exist, by an entry that knows nothing yet.
    @Test
    void anEntryWithoutAConfigurationSaysNotNow() {
        RecordedAnswer answer = world.send();
        world.time().pass(Duration.ofSeconds(1));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    /** Guards against requests that wait for a slot at one target while another has one. */
    @Test
    void aTargetThatDeclinesALoadIsPassedOverAtOnce() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b", "c", "d")) {
            world.target(name, Map.of("base", Map.of()));
        }
        world.adapters().decline("a", "b");
        world.send(Optional.of(generation()));
        assertThat(world.adapters().wanted()).hasSize(1);
        assertThat(world.adapters().wanted().get(0)).matches("[cd] a7");
    }

    /** Guards against requests that are sent from target to target where all of them decline. */
    @Test
    void aRequestWaitsAtTheThirdTargetWhereTwoHaveDeclined() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b", "c", "d")) {
            world.target(name, Map.of("base", Map.of()));
        }
        world.adapters().decline("a", "b", "c", "d");
        world.send(Optional.of(generation()));
        assertThat(world.adapters().wanted()).hasSize(1);
    }

    /** Guards against prompts that are sent to a target that has too much to read for them. */
    @Test
    void aTargetThatHasTooMuchToReadIsPassedOver() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b")) {
            world.target(name, Map.of("base", Map.of("a7", 1L)));
        }
        List<String> asked = new ArrayList<>();
        world.admitBy((target, promptTokens, longestDelay, decided) -> {
            asked.add(target.id().value());
            decided.accept(asked.size() == 1 ? Decision.SATURATED : new Decision(true, Duration.ofMillis(90)));
            return Cancellable.NOTHING;
        });
        world.send(Optional.of(generation()));
        assertThat(asked).doesNotHaveDuplicates().hasSize(2);
        assertThat(world.targets().sent()).isEmpty();
        world.time().pass(Duration.ofMillis(91));
        assertThat(world.targets().last().target().id().value()).isEqualTo(asked.get(1));
    }

    /** Guards against requests that are never sent because all targets have too much to read. */
    @Test
    void aRequestIsSentWithoutATurnAfterThreeRefusals() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a", Map.of("base", Map.of("a7", 1L)));
        world.admitBy((target, promptTokens, longestDelay, decided) -> {
            decided.accept(Decision.SATURATED);
            return Cancellable.NOTHING;
        });
        world.send(Optional.of(generation()));
        assertThat(world.targets().sent()).hasSize(1);
    }

    /** Guards against a request that reaches a target which left while the request was held back. */
    @Test
    void aTargetThatLeavesWhileARequestIsHeldBackGetsItNot() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2);
        for (String name : List.of("a", "b")) {
            world.target(name, Map.of("base", Map.of("a7", 1L)));
        }
        List<Target> asked = new ArrayList<>();
        world.admitBy((target, promptTokens, longestDelay, decided) -> {
            asked.add(target);
            decided.accept(new Decision(true, Duration.ofMillis(90)));
            return Cancellable.NOTHING;
        });
        world.send(Optional.of(generation()));
        world.registry().removed(asked.get(0).id());
        world.time().pass(Duration.ofMillis(200));
        assertThat(world.targets().last().target()).isNotSameAs(asked.get(0));
    }

    @Test
    void aRequestWaitsForItsAdapterAndIsSentOnceItIsThere() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a", Map.of("base", Map.of()));
        world.send(Optional.of(generation()));
        assertThat(world.adapters().wanted()).contains("a a7");
        assertThat(world.targets().sent()).isEmpty();
        world.registry()
                .all()
                .iterator()
                .next()
                .learnResident(new AdapterName("base", "a7"), 1, world.time().nanos());
        world.adapters().wake();
        assertThat(world.targets().sent()).hasSize(1);
    }

    // The caller is told to come back long before its time is up: the adapter has not come for three seconds.
    @Test
    void aRequestWhoseAdapterDoesNotComeIsRefusedWellBeforeItsTime() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().pass(Duration.ofSeconds(4));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    // The caller of a rare adapter is served after a second: its only target was slow to load, and is asked on, since
    // no other is there. Sent away it would come back to the same wait.
    @Test
    void aRequestWaitsOnForASlowLoadWhereNoOtherTargetIsLeft() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2).target("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().pass(Duration.ofMillis(1_200));
        assertThat(answer.isOver()).isFalse();
        world.registry()
                .all()
                .iterator()
                .next()
                .learnResident(new AdapterName("base", "a7"), 1, world.time().nanos());
        world.adapters().wake();
        assertThat(world.targets().sent()).hasSize(1);
    }

    // A draft is cut off though another target could go on with it: its target crashes after five seconds, longer than
    // a
    // new request may wait for its adapter, and the adapter has to be loaded at the other target first.
    @Test
    void aStreamThatLosesItsTargetLateWaitsForItsAdapterElsewhere() {
        world.route(RepeatRule.RESUMABLE_STREAM, 2)
                .target("a", Map.of("base", Map.of("a7", 1L)))
                .target("b", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.targets().last().head(200, true);
        for (int event = 1; event <= 5; event++) {
            world.targets().last().part("id: " + event + "\ndata: x\n\n");
            world.time().pass(Duration.ofSeconds(1));
        }
        world.targets().last().failed(true);
        assertThat(answer.isOver()).isFalse();
        assertThat(world.adapters().wanted()).contains("b a7");
        world.registry()
                .find(TargetId.of("b"))
                .orElseThrow()
                .learnResident(ADAPTER, 1, world.time().nanos());
        world.adapters().wake();
        assertThat(world.targets().last().envelope().lastEvent()).hasValue(5);
    }

    private static GatewayRequest.Generation generation() {
        return new GatewayRequest.Generation(
                "base",
                Optional.of(new AdapterName("base", "a7")),
                100,
                50,
                List.of(new GatewayRequest.PromptPart("p", 100)));
    }

    // All entries were killed together and their callers reach them again before they have read configuration and
    // targets. Refused, they came back a second later, and again; what they need is known after half a second.
    @Test
    void aRequestThatComesBeforeTheConfigurationIsKnownIsServedOnceItIs() {
        RecordedAnswer answer = world.send();
        world.time().pass(Duration.ofMillis(500));
        world.configure(RepeatRule.ONCE, 1).target("a").started();
        assertThat(world.targets().last().envelope().left()).isEqualTo(RequestWorld.TIMEOUT.minusMillis(500));
        world.targets().last().head(200, false);
        world.targets().last().end();
        assertThat(answer.isWhole()).isTrue();
        assertThat(answer.status()).isEqualTo(200);
    }

    // The store is away while the entry starts, so nobody knows when it will have a configuration: callers are told
    // soon to
    // come back, and later ones at once.
    @Test
    void anEntryWhoseStartTakesLongRefusesAtOnce() {
        RecordedAnswer early = world.send();
        world.time().pass(Duration.ofSeconds(1));
        assertThat(early.status()).isEqualTo(503);
        assertThat(early.header("Retry-After")).isNotEmpty();
        world.time().pass(Duration.ofSeconds(2));
        RecordedAnswer late = world.send();
        assertThat(late.status()).isEqualTo(503);
    }

    // Its caller went away while the request was held back, so no target may see it.
    @Test
    void aRequestWhoseCallerLeavesBeforeTheStartIsNotSent() {
        RecordedAnswer answer = new RecordedAnswer();
        Cancellable received = world.receive(answer, RequestWorld.KEY, Optional.empty());
        received.cancel();
        world.configure(RepeatRule.ONCE, 1).target("a").started();
        world.time().pass(Duration.ofSeconds(2));
        assertThat(world.targets().sent()).isEmpty();
    }

    // All entries have just started, and for half a second nobody may order targets. The caller's adapter is nowhere;
    // its
    // request waits and is served, instead of being refused with all others of that moment.
    @Test
    void aRequestWaitsForSomebodyWhoCanHaveItsAdapterLoaded() {
        world.route(RepeatRule.ONCE_STREAM, 1).target("a", Map.of("base", Map.of()));
        world.targetsHeld(false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().pass(Duration.ofMillis(500));
        world.targetsHeld(true);
        world.time().pass(Duration.ofMillis(200));
        assertThat(world.adapters().wanted()).isNotEmpty();
        assertThat(answer.isOver()).isFalse();
    }

    // The store has been away for long, so nobody has the right to order targets; who waits is told soon.
    @Test
    void aRequestDoesNotWaitForLongWhereNobodyCanHaveItsAdapterLoaded() {
        world.route(RepeatRule.ONCE_STREAM, 1).target("a", Map.of("base", Map.of()));
        world.targetsHeld(false);
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().pass(Duration.ofMillis(1_200));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }

    // Callers that wait for an adapter leave after two seconds, or four objectives, without having been told anything.
    // Those whose
    // adapter does not come are told before that when to come back. The objective of this route is 0.8 s.
    @Test
    void whoWaitsForAnAdapterInVainIsToldBeforeHeLeaves() {
        world.route(RepeatRule.ONCE_STREAM, 1).target("a", Map.of("base", Map.of()));
        RecordedAnswer answer = world.send(Optional.of(generation()));
        world.time().pass(Duration.ofMillis(2_500));
        assertThat(answer.isOver()).isFalse();
        world.time().pass(Duration.ofMillis(600));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
    }
}
