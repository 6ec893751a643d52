package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
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
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                4,
                draining,
                Optional.empty(),
                Map.of("base", Map.of("a1", 1L)));
    }

    private void rowGoesJustAfterTheStoreIsBackAndOneHeartbeatComes() {
        registry.put(description(1, false));
        registry.storeLost();
        time.pass(Duration.ofSeconds(7));
        registry.storeAnswers();
        registry.removed(ID);
        registry.put(description(1, false));
    }

    @Test
    void aTargetWhoseRowIsGoneTakesNoWork() {
        registry.put(description(1, false));
        registry.removed(ID);
        assertThat(registry.find(ID)).isEmpty();
    }

    // All targets would be lost at once: their rows lapse while the store is away, though they live. They are used
    // until
    // the store has been back for two seconds; one whose row is missing still is gone then.
    @Test
    void rowsThatLapseWhileTheStoreIsAwayAreBelievedForTwoMoreSeconds() {
        registry.put(description(1, false));
        registry.storeLost();
        time.pass(Duration.ofSeconds(5));
        registry.removed(ID);
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        registry.storeAnswers();
        time.pass(TargetRegistry.ROW_RETURN_TIMEOUT);
        registry.expire();
        assertThat(registry.find(ID)).isEmpty();
    }

    // A request reached a target 2.7 s after it had left: the store turned one entry away for 7 s, the target's row
    // went just after its return, when rows are doubted, and a late heartbeat put it back. No second one came.
    @Test
    void aLateHeartbeatAfterTheStoresReturnKeepsATargetForMomentsOnly() {
        rowGoesJustAfterTheStoreIsBackAndOneHeartbeatComes();
        time.pass(TargetRegistry.SECOND_HEARTBEAT_TIMEOUT.minusMillis(1));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        time.pass(Duration.ofMillis(1));
        registry.expire();
        assertThat(registry.find(ID)).isEmpty();
    }

    @Test
    void aTargetThatWasLetGoOfAfterOneHeartbeatIsBackWithTheNext() {
        rowGoesJustAfterTheStoreIsBackAndOneHeartbeatComes();
        time.pass(TargetRegistry.SECOND_HEARTBEAT_TIMEOUT);
        registry.expire();
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isPresent();
    }

    // Callers' answers are cut off: a target leaves, its row goes, and a heartbeat that was on its way puts the row
    // back for some seconds. It is the only one, so the target is not taken to be there.
    @Test
    void aLateHeartbeatOfATargetThatHasLeftDoesNotBringItBack() {
        registry.put(description(1, false));
        registry.removed(ID);
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isEmpty();
        registry.removed(ID);
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isEmpty();
    }

    // A target that was cut off from the store lives and writes its heartbeats again; without it the others are
    // crowded.
    @Test
    void aTargetThatWritesHeartbeatsAgainIsBack() {
        registry.put(description(1, false));
        registry.removed(ID);
        registry.put(description(1, false));
        registry.put(description(1, false));
        assertThat(registry.find(ID)).isPresent();
    }

    @Test
    void aTargetThatStartsAgainIsBackAtOnce() {
        registry.put(description(1, false));
        registry.removed(ID);
        registry.put(description(2, false));
        assertThat(registry.find(ID)).isPresent();
    }

    // Requests reach a target that drains: the heartbeat from before its draining is written after the one that told
    // of it.
    @Test
    void aLateHeartbeatDoesNotEndDraining() {
        registry.put(description(1, false));
        registry.put(description(1, true));
        registry.put(description(1, false));
        assertThat(registry.find(ID).orElseThrow().acceptsRequests()).isFalse();
    }

    // A target that has left gets requests for seconds: one call of the store fails just as its row goes. No row lapses
    // within so short an absence, so the target is gone.
    @Test
    void aRowThatGoesAtAShortFailureOfTheStoreIsBelievedGone() {
        registry.put(description(1, false));
        registry.storeLost();
        time.pass(Duration.ofMillis(300));
        registry.storeAnswers();
        registry.removed(ID);
        assertThat(registry.find(ID)).isEmpty();
    }

    // A target that lives writes a heartbeat each 1.2 s once it reaches the store again; its rows come and stay.
    @Test
    void aLapsedRowThatComesBackIsKept() {
        registry.put(description(1, false));
        registry.storeLost();
        time.pass(Duration.ofSeconds(4));
        registry.replaceAll(List.of());
        registry.storeAnswers();
        registry.put(description(1, false));
        time.pass(Duration.ofMillis(1_200));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
        registry.put(description(1, false));
        time.pass(Duration.ofMillis(1_800));
        registry.expire();
        assertThat(registry.find(ID)).isPresent();
    }

    // A caller's stream would be answered "not resident": the target has started again under its name and holds
    // nothing.
    @Test
    void aTargetThatStartedAgainHoldsNothingOfBefore() {
        registry.put(description(1, false));
        Target before = registry.find(ID).orElseThrow();
        before.learnResident(new AdapterName("base", "a9"), 1, time.nanos());
        registry.put(description(2, false));
        assertThat(registry.find(ID).orElseThrow().residentVersion(new AdapterName("base", "a9")))
                .isEmpty();
        assertThat(before.acceptsRequests()).isFalse();
    }

    @Test
    void anOlderLifeThatIsReadLateChangesNothing() {
        registry.put(description(2, false));
        registry.put(description(1, false));
        assertThat(registry.find(ID).orElseThrow().description().startedAt()).isEqualTo(2);
    }

    @Test
    void whatWasLearntCountsAgainstARowOfAnOlderMoment() {
        registry.put(description(1, false));
        Target target = registry.find(ID).orElseThrow();
        AdapterName loaded = new AdapterName("base", "a2");
        target.learnResident(loaded, 1, time.nanos());
        target.learnAbsent(new AdapterName("base", "a1"), time.nanos());
        registry.put(description(1, false));
        assertThat(target.residents()).containsOnlyKeys(loaded);
        time.pass(Target.ROW_LAG);
        registry.put(description(1, false));
        assertThat(target.residents()).containsOnlyKeys(new AdapterName("base", "a1"));
    }

    @Test
    void aLeavingTargetTakesNoWork() {
        registry.put(description(1, false));
        registry.put(description(1, true));
        assertThat(registry.find(ID).orElseThrow().acceptsRequests()).isFalse();
    }

    /** Guards against requests that see an older list of a service's targets. */
    @Test
    void theTargetsOfAServiceAreThoseOfTheMomentInTheOrderOfTheirNames() {
        assertThat(registry.findByService("service")).isEmpty();
        registry.put(description(1, false));
        assertThat(registry.findByService("service")).extracting(Target::id).containsExactly(ID);
        registry.put(description(2, false));
        assertThat(registry.findByService("service"))
                .extracting(target -> target.description().startedAt())
                .containsExactly(2L);
        registry.removed(ID);
        assertThat(registry.findByService("service")).isEmpty();
    }
}
