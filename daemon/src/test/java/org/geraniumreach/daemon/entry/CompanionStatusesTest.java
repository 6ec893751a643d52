package org.geraniumreach.daemon.entry;

import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.routing.TargetStatus;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionStatusesTest {

    private static final InstanceId COMPANION = InstanceId.of("companion-1");
    private static final AdapterReference FIRST = AdapterReference.of("first", "1");
    private static final AdapterReference SECOND = AdapterReference.of("second", "1");

    private static final Object LINK = new Object();

    private final CompanionStatuses statuses = new CompanionStatuses();

    @Test
    void changesAreMergedIntoTheEarlierCompleteStatus() {
        // The companion's complete first status may arrive before the entry knows its target, and only changes follow.
        // If the first one were lost, requests would wait for the load of an adapter that is already resident.
        statuses.update(COMPANION, LINK, status(1, true, Set.of(FIRST), Set.of()));
        statuses.update(COMPANION, LINK, status(2, false, Set.of(SECOND), Set.of()));
        assertThat(statuses.find(COMPANION).orElseThrow().resident()).containsExactlyInAnyOrder(FIRST, SECOND);
        assertThat(statuses.find(COMPANION).orElseThrow().complete()).isTrue();
    }

    @Test
    void removedAdaptersAreNotResident() {
        statuses.update(COMPANION, LINK, status(1, true, Set.of(FIRST, SECOND), Set.of()));
        statuses.update(COMPANION, LINK, status(2, false, Set.of(), Set.of(FIRST)));
        assertThat(statuses.find(COMPANION).orElseThrow().resident()).containsExactly(SECOND);
    }

    @Test
    void closingALinkRemovesItsStatus() {
        statuses.update(COMPANION, LINK, status(1, true, Set.of(FIRST), Set.of()));
        statuses.remove(COMPANION, LINK);
        assertThat(statuses.find(COMPANION)).isEmpty();
    }

    @Test
    void closingAnOlderLinkKeepsTheStatusOfTheNewerLink() {
        statuses.update(COMPANION, LINK, status(1, true, Set.of(FIRST), Set.of()));
        statuses.remove(COMPANION, new Object());
        assertThat(statuses.find(COMPANION)).isPresent();
    }

    private static TargetStatus status(
            long sequence, boolean complete, Set<AdapterReference> resident, Set<AdapterReference> removed) {
        return new TargetStatus(
                TargetId.of("target-1"), sequence, 1, 0, 0, 0, 1, 4, complete, resident, removed, Set.of(), false, 0);
    }
}
