package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/** An entry in virtual time whose targets hold the first version of an adapter, and whose requests use it. */
abstract class AdapterVersionTestCase {

    static final AdapterName ADAPTER = new AdapterName("base", "a7");

    /** The time from the naming of a version until no request may begin at an older one. */
    static final Duration LIMIT = Duration.ofSeconds(5);

    final RequestHarness world = new RequestHarness();

    final void start(RetryPolicy retryPolicy, String... targets) {
        world.startWithRoute(retryPolicy, 3);
        for (String target : targets) {
            world.addTarget(target, SoftwareVersion.of("v1"), Map.of("base", Map.of("a7", 1L)));
        }
    }

    final RecordedAnswer send() {
        return world.send(Optional.of(new GatewayRequest.Generation(
                "base", Optional.of(ADAPTER), 100, 50, List.of(new GatewayRequest.PromptPart("p", 100)))));
    }

    final void load(String target, long version) {
        world.registry()
                .find(TargetId.of(target))
                .orElseThrow()
                .learnResident(ADAPTER, version, world.time().nanos());
        world.adapters().notifyWaiters();
    }

    final SentRequest last() {
        return world.targets().lastRequest();
    }
}
