package org.geraniumreach.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that lose their target while targets of several software versions serve. */
class InterruptedStreamVersionTest {

    private static final SoftwareVersion FIRST = SoftwareVersion.of("v1");

    private final RequestHarness world = new RequestHarness().startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);

    private void beginAndFail() {
        SentRequest first = world.targets().lastRequest();
        BegunStream.begin(first);
        first.fail(true);
    }

    /** Guards against an answer that goes on at another software version, or ends although its version has a target left. */
    @ParameterizedTest
    @CsvSource({"v1, true", "v2, false", "v2 v1, true", "v2 v3, false", "v3 v2 v1, true", "v2 v1 v1, true"})
    void anAnswerGoesOnOnlyAtTheVersionThatBeganIt(String remainingVersions, boolean goesOn) {
        world.addTarget("first", FIRST, Map.of());
        RecordedAnswer answer = world.send();
        int number = 0;
        for (String version : remainingVersions.split(" ")) {
            world.addTarget("remaining-" + number++, SoftwareVersion.of(version), Map.of());
        }
        beginAndFail();
        assertThat(world.targets().sentRequests())
                .extracting(sent -> sent.target().description().softwareVersion())
                .containsOnly(FIRST)
                .hasSize(goesOn ? 2 : 1);
        assertThat(answer.isAborted()).isEqualTo(!goesOn);
    }

    /** Guards against ordering an adapter for the rest of a stream at a target of another software version. */
    @Test
    void anAdapterIsLoadedForTheRestOfAStreamAtTheVersionThatBeganIt() {
        AdapterName adapter = new AdapterName("base", "a1");
        world.addTarget("first", FIRST, Map.of("base", Map.of("a1", 1L)));
        world.send(Optional.of(new GatewayRequest.Generation("base", Optional.of(adapter), 10, 5, List.of())));
        world.addTarget("other", SoftwareVersion.of("v2"), Map.of("base", Map.of("a1", 1L)));
        world.addTarget("same", FIRST, Map.of("base", Map.of()));
        beginAndFail();
        assertThat(world.adapters().enqueuedLoads()).containsExactly("same a1");
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against an answer whose target started again with another version before it got the request. */
    @Test
    void anAnswerEndsIfItsTargetMayHaveChangedItsVersion() {
        world.addTarget("first", FIRST, Map.of());
        BegunStream stream = BegunStream.start(world);
        SentRequest first = stream.sent();
        world.addTarget("same", FIRST, Map.of());
        world.registry().onRowRemoved(first.target().id());
        world.addTarget("first", 2, SoftwareVersion.of("v2"), Map.of());
        first.fail(true);
        assertThat(stream.answer().isAborted()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against a request that no caller has seen anything of and that is kept at a software version without a target. */
    @Test
    void aRequestThatHasNotBegunMayGoToAnyVersion() {
        world.addTarget("first", FIRST, Map.of());
        world.send();
        world.addTarget("other", SoftwareVersion.of("v2"), Map.of());
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().lastRequest().target().id().value()).isEqualTo("other");
    }
}
