package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What the log tells of the knowledge on which a request is placed and written. */
class KnownStateTest {

    private static final AdapterName ADAPTER = new AdapterName("base", "a7");
    private static final Optional<GatewayRequest.Generation> GENERATION =
            Optional.of(new GatewayRequest.Generation("base", Optional.of(ADAPTER), 10, 10, List.of()));

    private final RequestHarness world = new RequestHarness().startWithRoute(RetryPolicy.IDEMPOTENT, 3);

    /** Guards against placements of which nobody can tell afterwards what was known of versions and rows. */
    @Test
    void aPlacementTellsTheVersionsAndTheAgesOfTheRows() {
        world.addTarget("a", Map.of("base", Map.of("a7", 3L)));
        world.adapters().setVersions(4, 3);
        world.adapters().setNamedAt(world.time().nanos());
        world.setReadAt(StorePort.Table.TARGETS, world.time().nanos());
        world.time().advance(Duration.ofMillis(300));
        world.setReadAt(StorePort.Table.OPERATOR, world.time().nanos());
        world.time().advance(Duration.ofMillis(200));
        world.send(GENERATION);
        assertThat(world.loggedFields(EventCode.REQUEST_PLACED)).singleElement().satisfies(line -> assertThat(line)
                .containsEntry("expectedVersion", 3L)
                .containsEntry("minimumVersion", 3L)
                .containsEntry("namedVersion", 4L)
                .containsEntry("namedForMillis", 500L)
                .containsEntry("targetRowsAgeMillis", 500L)
                .containsEntry("operatorRowsAgeMillis", 200L));
    }

    /** Guards against lines that grow by what does not concern their request. */
    @Test
    void aPlacementWithoutANamedVersionTellsTheAgesAlone() {
        world.addTarget("a");
        world.send();
        assertThat(world.loggedFields(EventCode.REQUEST_PLACED)).singleElement().satisfies(line -> assertThat(line)
                .containsEntry("targetRowsAgeMillis", -1L)
                .containsEntry("operatorRowsAgeMillis", -1L)
                .doesNotContainKeys("expectedVersion", "namedVersion"));
    }

    /** Guards against writes of which only the placement is known, though the connection opened long after it. */
    @Test
    void aDelayedWriteTellsWhatIsKnownThen() {
        world.addTarget("a", Map.of("base", Map.of("a7", 3L)));
        world.adapters().setVersions(4, 3);
        world.targets().setConnecting(false);
        world.send(GENERATION);
        world.time().advance(Duration.ofMillis(300));
        world.targets().lastRequest().connect();
        assertThat(world.loggedFields(EventCode.WRITE_DELAYED)).singleElement().satisfies(line -> assertThat(line)
                .containsEntry("target", "a")
                .containsEntry("delayMillis", 300L)
                .containsEntry("expectedVersion", 3L)
                .containsEntry("namedVersion", 4L));
    }
}
