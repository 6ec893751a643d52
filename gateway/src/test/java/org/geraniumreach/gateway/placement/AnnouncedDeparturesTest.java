package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AnnouncedDeparturesTest {

    private static final TargetId ID = TargetId.of("t1");

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final List<EventCode> events = new ArrayList<>();
    private final AnnouncedDepartures departures =
            new AnnouncedDepartures(registry, (event, id, fields) -> events.add(event));

    AnnouncedDeparturesTest() {
        writeRow(1);
    }

    private void writeRow(long startedAt) {
        registry.put(TestTargets.describe(ID, startedAt));
    }

    private Target target() {
        return registry.find(ID).orElseThrow();
    }

    private void answer(boolean leaving) {
        departures.onCall(target()).accept(new TargetSignals(Optional.empty(), Optional.empty(), leaving, true));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aTargetThatSaysThatItLeavesGetsNoNewRequests(boolean leaving) {
        answer(leaving);
        assertThat(target().acceptsRequests()).isEqualTo(!leaving);
    }

    // Guards against using the target again after a heartbeat that it wrote before, or an answer that overtook.
    @Test
    void laterRowsAndAnswersDoNotBringItBack() {
        answer(true);
        writeRow(1);
        answer(false);
        assertThat(target().acceptsRequests()).isFalse();
        assertThat(events).containsExactly(EventCode.TARGET_LEAVING);
    }

    // Guards against using the target again when its row lapses and returns.
    @Test
    void theSameIncarnationStaysOutIfItsRowReturns() {
        answer(true);
        registry.onRowRemoved(ID);
        for (int heartbeat = 0; heartbeat < 30; heartbeat++) {
            writeRow(1);
            registry.expire();
            assertThat(registry.find(ID).filter(Target::acceptsRequests)).isEmpty();
            time.advance(Duration.ofMillis(1_200));
        }
    }

    // Guards against the use of a removed target whose answer, which says that it leaves, comes after the removal.
    @Test
    void anAnswerAfterTheRemovalOfTheRowCounts() {
        Target removed = target();
        registry.onRowRemoved(ID);
        departures.onCall(removed).accept(new TargetSignals(Optional.empty(), Optional.empty(), true, true));
        for (int heartbeat = 0; heartbeat < 30; heartbeat++) {
            writeRow(1);
            registry.expire();
            assertThat(registry.find(ID)).isEmpty();
            time.advance(Duration.ofMillis(1_200));
        }
    }

    @Test
    void aRestartedTargetIsUsed() {
        answer(true);
        writeRow(2);
        assertThat(target().acceptsRequests()).isTrue();
    }
}
