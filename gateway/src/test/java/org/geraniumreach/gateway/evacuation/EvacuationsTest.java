package org.geraniumreach.gateway.evacuation;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;

import org.geraniumreach.gateway.evacuation.Evacuations.Phase;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.OperatorItem;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationsTest {

    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final FailureDomain NORTH = FailureDomain.of("north");
    private static final FailureDomain SOUTH = FailureDomain.of("south");

    private final VirtualTime time = new VirtualTime();
    private final Evacuations evacuations = new Evacuations(LIMIT, time, (event, id, fields) -> {});

    private void update(boolean whole, OptionalLong previousReadAt, OperatorItem... items) {
        evacuations.onOperatorItems(new StorePort.TableUpdate<>(List.of(items), 1, whole), previousReadAt);
    }

    private OptionalLong ago(Duration age) {
        return OptionalLong.of(time.nanos() - age.toNanos());
    }

    /** Guards against requests that reach an evacuated domain because an entry read the evacuation late. */
    @ParameterizedTest
    @CsvSource({"0", "500", "1600", "2900", "3500", "60000"})
    void aDomainIsDrainedWellBeforeTheLimitHoweverLateTheEvacuationIsRead(long readMillisAgo) {
        update(false, ago(Duration.ofMillis(readMillisAgo)), new OperatorItem.Evacuation(NORTH));
        Duration sinceRequest = Duration.ofMillis(readMillisAgo);
        Duration remaining = LIMIT.minusMillis(1_500).minus(sinceRequest);
        time.advance(remaining.isNegative() ? Duration.ZERO : remaining);
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINED);
        assertThat(evacuations.phase(SOUTH)).isEqualTo(Phase.IN_USE);
    }

    /** Guards against fetching all adapters of a domain elsewhere at the same time. */
    @Test
    void aDomainIsDrainedOverTimeIfTheEvacuationIsReadEarly() {
        update(false, ago(Duration.ofMillis(300)), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINING);
    }

    /** Guards against an entry that starts during an evacuation and treats it as a new one. */
    @Test
    void aDomainIsDrainedAtOnceForAnEntryThatStarts() {
        update(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINED);
    }

    /** Guards against using a domain again because its row was rewritten. */
    @Test
    void aRewrittenRowDoesNotRestartTheEvacuation() {
        update(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        update(false, ago(Duration.ZERO), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINED);
    }

    /** Guards against an evacuation that restarts, or never ends, after the store has dropped its history. */
    @Test
    void aCompleteReadKeepsListedEvacuationsAndEndsAllOthers() {
        update(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH), new OperatorItem.Evacuation(SOUTH));
        update(true, ago(Duration.ZERO), new OperatorItem.Evacuation(SOUTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.IN_USE);
        assertThat(evacuations.phase(SOUTH)).isEqualTo(Phase.DRAINED);
    }

    /** Guards against applying the wrong one of two changes that are read together. */
    @Test
    void theLastOfSeveralChangesCounts() {
        update(false, ago(LIMIT), new OperatorItem.Evacuation(NORTH), new OperatorItem.EvacuationEnded(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.IN_USE);
        update(false, ago(LIMIT), new OperatorItem.EvacuationEnded(NORTH), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINED);
    }

    @Test
    void otherRowsDoNotEndAnEvacuation() {
        update(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        update(false, ago(Duration.ZERO), new OperatorItem.Unreadable("config", "no JSON"));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.DRAINED);
    }
}
