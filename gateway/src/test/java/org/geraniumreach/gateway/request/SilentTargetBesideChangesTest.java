package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Lets targets fall silent beside evacuations, drains of targets and releases. */
class SilentTargetBesideChangesTest {

    private static final int MAXIMUM_TARGETS = 3;
    private static final FailureDomain HERE = FailureDomain.of("here");
    private static final FailureDomain THERE = FailureDomain.of("there");

    /** Longer than any limit of a silence, and shorter than the timeout of the route. */
    private static final Duration LONG_SILENCE = RequestHarness.TIMEOUT.dividedBy(2);

    private static final Duration EVACUATION_TIME = Duration.ofSeconds(5);

    private final RequestHarness world = new RequestHarness();

    private RecordedAnswer sendTo(RetryPolicy policy, Runnable addTarget) {
        world.startWithRoute(policy, MAXIMUM_TARGETS);
        addTarget.run();
        return world.send();
    }

    private static void begin(SentRequest sent, RetryPolicy policy) {
        if (policy.isStream()) {
            sent.answerHead(200, true);
            sent.answerPart("id: 1\ndata: x\n\n");
        }
    }

    private void endAndCheck(SentRequest sent, RetryPolicy policy, RecordedAnswer answer) {
        assertThat(sent.isOpen()).isTrue();
        if (policy.isStream()) {
            sent.answerPart("id: 2\ndata: y\n\n");
        } else {
            sent.answerHead(200, false);
        }
        sent.endAnswer();
        assertThat(answer.isComplete()).isTrue();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(world.openExchanges()).isZero();
    }

    /** Guards against a request that leaves its silent target for an evacuated domain, or ends since no other domain is left. */
    @ParameterizedTest
    @EnumSource
    void aRequestStaysAtItsSilentTargetIfAllOthersAreEvacuated(RetryPolicy policy) {
        world.putTarget("b", THERE, false);
        world.evacuate(THERE);
        world.time().advance(EVACUATION_TIME);
        RecordedAnswer answer = sendTo(policy, () -> world.putTarget("a", HERE, false));
        SentRequest sent = world.targets().lastRequest();
        begin(sent, policy);
        world.time().advance(LONG_SILENCE);
        assertThat(world.targets().sentRequests()).hasSize(1);
        endAndCheck(sent, policy, answer);
    }

    /** Guards against a request that ends as its silent target's domain is evacuated, and one that no longer finds another target. */
    @ParameterizedTest
    @EnumSource
    void aRequestOutlivesTheEvacuationOfItsSilentTarget(RetryPolicy policy) {
        RecordedAnswer answer = sendTo(policy, () -> world.putTarget("a", HERE, false));
        SentRequest sent = world.targets().lastRequest();
        begin(sent, policy);
        world.evacuate(HERE);
        world.putTarget("b", THERE, false);
        world.time().advance(LONG_SILENCE);
        assertThat(world.targets().sentRequests()).hasSize(policy.allowsRerun() ? 2 : 1);
        endAndCheck(world.targets().lastRequest(), policy, answer);
    }

    /** Guards against a request that is sent into a domain whose evacuation ended its use while the request waited. */
    @Test
    void aRequestThatWaitsBesideItsSilentTargetIsNotSentIntoAnEvacuatedDomain() {
        RetryPolicy policy = RetryPolicy.RESUMABLE_STREAM;
        RecordedAnswer answer = sendTo(policy, () -> world.putTarget("a", HERE, false));
        SentRequest sent = world.targets().lastRequest();
        begin(sent, policy);
        world.putTarget("b", THERE, false);
        List<Runnable> permissions = new ArrayList<>();
        world.setLimiter((target, callback) -> {
            permissions.add(() -> callback.accept(RequestLimiter.Decision.UNLIMITED));
            return () -> {};
        });
        world.evacuate(THERE);
        world.time().advance(EVACUATION_TIME);
        assertThat(permissions).isNotEmpty();
        List.copyOf(permissions).forEach(Runnable::run);
        assertThat(world.targets().sentRequests()).hasSize(1);
        endAndCheck(sent, policy, answer);
    }

    /** Guards against a request that ends since its silent target is drained or scaled in, or moves to one that drains. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestOutlivesTheDrainOfItsSilentTarget(boolean rowRemoved) {
        RetryPolicy policy = RetryPolicy.RESUMABLE_STREAM;
        RecordedAnswer answer = sendTo(policy, () -> world.putTarget("a", HERE, false));
        SentRequest sent = world.targets().lastRequest();
        begin(sent, policy);
        world.putTarget("b", HERE, true);
        world.putTarget("a", HERE, true);
        world.time().advance(Duration.ofSeconds(2));
        if (rowRemoved) {
            world.registry().onRowRemoved(sent.target().id());
        }
        world.time().advance(Duration.ofSeconds(2));
        assertThat(world.targets().sentRequests()).hasSize(1);
        endAndCheck(sent, policy, answer);
    }

    /** Guards against an answer that goes on at another software version, or ends since a release left its silent target alone. */
    @Test
    void anAnswerStaysAtTheLastTargetOfItsVersion() {
        RetryPolicy policy = RetryPolicy.RESUMABLE_STREAM;
        RecordedAnswer answer = sendTo(policy, () -> world.addTarget("a", SoftwareVersion.of("v1"), Map.of()));
        SentRequest sent = world.targets().lastRequest();
        begin(sent, policy);
        world.addTarget("b", SoftwareVersion.of("v2"), Map.of());
        world.time().advance(LONG_SILENCE);
        assertThat(world.targets().sentRequests()).hasSize(1);
        endAndCheck(sent, policy, answer);
    }

    /** Guards against an answer that waits for its silent target although a release has left another one of its version. */
    @Test
    void anAnswerMovesWithinItsVersionDuringARelease() {
        RetryPolicy policy = RetryPolicy.RESUMABLE_STREAM;
        RecordedAnswer answer = sendTo(policy, () -> world.addTarget("a", SoftwareVersion.of("v1"), Map.of()));
        begin(world.targets().lastRequest(), policy);
        for (String newer : List.of("b", "c", "d")) {
            world.addTarget(newer, SoftwareVersion.of("v2"), Map.of());
        }
        world.addTarget("e", SoftwareVersion.of("v1"), Map.of());
        world.time().advance(LONG_SILENCE);
        SentRequest successor = world.targets().lastRequest();
        assertThat(successor.target().id().value()).isEqualTo("e");
        successor.answerHead(200, true);
        endAndCheck(successor, policy, answer);
    }

    /** Guards against a request that is run by two targets, since its route allows that for others. */
    @ParameterizedTest
    @EnumSource(
            value = RetryPolicy.class,
            names = {"AT_MOST_ONCE", "AT_MOST_ONCE_STREAM"})
    void aRequestThatMayRunOnceStaysAtItsSilentTargetBesideARelease(RetryPolicy policy) {
        RecordedAnswer answer = sendTo(policy, () -> world.putTarget("a", HERE, false));
        SentRequest sent = world.targets().lastRequest();
        world.addTarget("b", SoftwareVersion.of("v2"), Map.of()).putTarget("a", HERE, true);
        world.time().advance(LONG_SILENCE);
        begin(sent, policy);
        world.time().advance(LONG_SILENCE.dividedBy(2));
        assertThat(world.targets().sentRequests()).hasSize(1);
        endAndCheck(sent, policy, answer);
    }
}
