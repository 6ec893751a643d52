package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetRegistryTest {

    private static final TargetId ID = TargetId.of("t");

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);

    private static TargetDescription description(long startedAt, boolean draining) {
        return new TargetDescription(
                ID,
                startedAt,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                4,
                draining,
                Optional.empty(),
                Map.of("base", Map.of("a1", 1L)));
    }

    private void removeRowJustAfterAnOutageAndPutOneHeartbeat() {
        registry.put(description(1, false));
        registry.onStoreUnavailable();
        time.advance(Duration.ofSeconds(7));
        registry.onStoreAvailable();
        registry.onRowRemoved(ID);
        registry.put(description(1, false));
    }

    @Test
    void aTargetWhoseRowIsRemovedIsRemoved() {
        registry.put(description(1, false));
        registry.onRowRemoved(ID);
        assertThat(registry.find(ID)).isEmpty();
    }

    // All targets would be lost at once, because their rows lapse during a store outage although they are alive. They
    // are used until two seconds after the outage; a target whose row is still missing is removed then.
    @Test
    void targetsWhoseRowsLapseInAnOutageAreKeptForTwoSecondsAfterIt() {
        registry.put(description(1, false));
        registry.onStoreUnavailable();
        time.advance(Duration.ofSeconds(5));
        registry.onRowRemoved(ID);
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        registry.onStoreAvailable();
        time.advance(LapsedRows.ROW_RETURN_TIMEOUT);
        registry.expire();
        assertThat(registry.find(ID)).isEmpty();
    }

    // Requests would reach a target 2.7 s after it left: its row is removed just after an outage of 7 s, when row
    // removals are not trusted, and a late heartbeat recreates the row, but no second one follows.
    @Test
    void aLateHeartbeatAfterAnOutageKeepsATargetOnlyUntilTheNextIsDue() {
        removeRowJustAfterAnOutageAndPutOneHeartbeat();
        time.advance(LapsedRows.SECOND_HEARTBEAT_TIMEOUT.minusMillis(1));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        time.advance(Duration.ofMillis(1));
        registry.expire();
        assertThat(registry.find(ID)).isEmpty();
    }

    @Test
    void aTargetRemovedAfterOneHeartbeatReturnsWithTheNext() {
        removeRowJustAfterAnOutageAndPutOneHeartbeat();
        time.advance(LapsedRows.SECOND_HEARTBEAT_TIMEOUT);
        registry.expire();
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isPresent();
    }

    // Answers would be cut off if requests went to a departed target: its row is removed, and a single heartbeat that
    // was in flight recreates the row for some seconds.
    @Test
    void aLateHeartbeatDoesNotRestoreADepartedTarget() {
        registry.put(description(1, false));
        registry.onRowRemoved(ID);
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isEmpty();
        registry.onRowRemoved(ID);
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isEmpty();
    }

    @Test
    void aRestartedTargetReturnsAtOnce() {
        registry.put(description(1, false));
        registry.onRowRemoved(ID);
        registry.put(description(2, false));
        assertThat(registry.find(ID)).isPresent();
    }

    // Requests would reach a draining target if a heartbeat from before the drain is written after the one that
    // announces it.
    @Test
    void aLateHeartbeatDoesNotEndDraining() {
        registry.put(description(1, false));
        registry.put(description(1, true));
        registry.put(description(1, false));
        assertThat(registry.find(ID).orElseThrow().acceptsRequests()).isFalse();
    }

    // A departed target would get requests for seconds if one store call fails just as its row is removed. No row
    // lapses during such a short outage, so the removal is trusted.
    @Test
    void aRowRemovedAtAShortStoreFailureRemovesItsTarget() {
        registry.put(description(1, false));
        registry.onStoreUnavailable();
        time.advance(Duration.ofMillis(300));
        registry.onStoreAvailable();
        registry.onRowRemoved(ID);
        assertThat(registry.find(ID)).isEmpty();
    }

    // A live target resumes writing a heartbeat every 1.2 s once it reaches the store again.
    @Test
    void aTargetWhoseLapsedRowIsRewrittenIsKept() {
        registry.put(description(1, false));
        registry.onStoreUnavailable();
        time.advance(Duration.ofSeconds(4));
        registry.replaceAll(List.of());
        registry.onStoreAvailable();
        registry.put(description(1, false));
        time.advance(Duration.ofMillis(1_200));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        registry.put(description(1, false));
        time.advance(Duration.ofMillis(1_800));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
    }

    // Requests would be answered "not resident" if the adapters of the previous incarnation were kept.
    @Test
    void aRestartedTargetHoldsNoAdaptersOfItsPreviousIncarnation() {
        registry.put(description(1, false));
        Target previous = registry.find(ID).orElseThrow();
        previous.learnResident(new AdapterName("base", "a9"), 1, time.nanos());
        registry.put(description(2, false));
        assertThat(registry.find(ID).orElseThrow().residentVersion(new AdapterName("base", "a9")))
                .isEmpty();
        assertThat(previous.acceptsRequests()).isFalse();
    }

    @Test
    void aLateRowOfAnOlderIncarnationIsIgnored() {
        registry.put(description(2, false));
        registry.put(description(1, false));
        assertThat(registry.find(ID).orElseThrow().description().startedAt()).isEqualTo(2);
    }

    @Test
    void observationsOverrideAnOlderRow() {
        registry.put(description(1, false));
        Target target = registry.find(ID).orElseThrow();
        AdapterName loaded = new AdapterName("base", "a2");
        target.learnResident(loaded, 1, time.nanos());
        target.learnAbsent(new AdapterName("base", "a1"), time.nanos());
        registry.put(description(1, false));
        assertThat(target.residents()).containsOnlyKeys(loaded);
        time.advance(Target.ROW_LAG);
        registry.put(description(1, false));
        assertThat(target.residents()).containsOnlyKeys(new AdapterName("base", "a1"));
    }

    @Test
    void aDrainingTargetAcceptsNoRequests() {
        registry.put(description(1, false));
        registry.put(description(1, true));
        assertThat(registry.find(ID).orElseThrow().acceptsRequests()).isFalse();
    }

    /** Guards against requests that are placed with an outdated list of a service's targets. */
    @Test
    void theTargetsOfAServiceAreCurrentAfterEachChange() {
        assertThat(registry.findByService("service")).isEmpty();
        registry.put(description(1, false));
        assertThat(registry.findByService("service")).extracting(Target::id).containsExactly(ID);
        registry.put(description(2, false));
        assertThat(registry.findByService("service"))
                .extracting(target -> target.description().startedAt())
                .containsExactly(2L);
        registry.onRowRemoved(ID);
        assertThat(registry.findByService("service")).isEmpty();
    }
}
