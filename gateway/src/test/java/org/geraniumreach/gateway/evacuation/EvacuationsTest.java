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

    private void take(boolean whole, OptionalLong readBefore, OperatorItem... items) {
        evacuations.onNews(new StorePort.News<>(List.of(items), 1, whole), readBefore);
    }

    private OptionalLong ago(Duration age) {
        return OptionalLong.of(time.nanos() - age.toNanos());
    }

    /** Guards against requests that reach an evacuated domain because an entry learnt of the evacuation late. */
    @ParameterizedTest
    @CsvSource({"0", "500", "1600", "2900", "3500", "60000"})
    void aDomainIsEmptyWellBeforeTheLimitHoweverLateItIsKnown(long readMillisAgo) {
        take(false, ago(Duration.ofMillis(readMillisAgo)), new OperatorItem.Evacuation(NORTH));
        Duration sinceRequest = Duration.ofMillis(readMillisAgo);
        Duration left = LIMIT.minusMillis(1_500).minus(sinceRequest);
        time.pass(left.isNegative() ? Duration.ZERO : left);
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTY);
        assertThat(evacuations.phase(SOUTH)).isEqualTo(Phase.IN_USE);
    }

    /** Guards against all adapters of a domain being fetched elsewhere at the same moment. */
    @Test
    void aDomainIsEmptiedOverTimeWhereTheEvacuationIsKnownEarly() {
        take(false, ago(Duration.ofMillis(300)), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTYING);
    }

    /** Guards against an entry that starts during an evacuation and takes it for a new one. */
    @Test
    void aDomainIsEmptyAtOnceForAnEntryThatStarts() {
        take(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTY);
    }

    /** Guards against a domain that is used again because its row was written anew. */
    @Test
    void aRowThatIsWrittenAgainDoesNotBeginTheEvacuationAnew() {
        take(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        take(false, ago(Duration.ZERO), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTY);
    }

    /** Guards against an evacuation that begins anew, or never ends, after the store has dropped its history. */
    @Test
    void aWholeReadingKeepsWhatItListsAndEndsWhatItDoesNot() {
        take(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH), new OperatorItem.Evacuation(SOUTH));
        take(true, ago(Duration.ZERO), new OperatorItem.Evacuation(SOUTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.IN_USE);
        assertThat(evacuations.phase(SOUTH)).isEqualTo(Phase.EMPTY);
    }

    /** Guards against a domain that stays empty, or in use, where both changes are read together. */
    @Test
    void theLastOfSeveralChangesCounts() {
        take(false, ago(LIMIT), new OperatorItem.Evacuation(NORTH), new OperatorItem.EvacuationEnded(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.IN_USE);
        take(false, ago(LIMIT), new OperatorItem.EvacuationEnded(NORTH), new OperatorItem.Evacuation(NORTH));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTY);
    }

    @Test
    void newsOfOtherRowsEndNoEvacuation() {
        take(true, OptionalLong.empty(), new OperatorItem.Evacuation(NORTH));
        take(false, ago(Duration.ZERO), new OperatorItem.Unreadable("config", "no JSON"));
        assertThat(evacuations.phase(NORTH)).isEqualTo(Phase.EMPTY);
    }
}
