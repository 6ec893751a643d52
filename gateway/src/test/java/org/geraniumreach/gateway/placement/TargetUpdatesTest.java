package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.TargetItem;
import org.geraniumreach.gateway.store.UnreadableRows;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetUpdatesTest {

    private static final TargetId ID = TargetId.of("t");

    private final TargetRegistry registry = new TargetRegistry(new VirtualTime());
    private final List<EventCode> logged = new ArrayList<>();
    private final TargetUpdates updates =
            new TargetUpdates(registry, new UnreadableRows((event, subject, fields) -> logged.add(event)));

    private static TargetItem present() {
        return new TargetItem.Present(new TargetDescription(
                ID,
                1,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                4,
                false,
                Optional.empty(),
                Map.of()));
    }

    private void apply(boolean whole, TargetItem... items) {
        updates.onUpdate(new StorePort.TableUpdate<>(List.of(items), 1, whole));
    }

    // Requests would go to a departed target if its last heartbeat and the removal of its row arrive in the same
    // update and the heartbeat were applied last.
    @Test
    void aRowRemovedAfterAHeartbeatOfTheSameUpdateRemovesItsTarget() {
        apply(true, present());
        apply(false, present(), new TargetItem.Removed(ID));
        assertThat(registry.find(ID)).isEmpty();
    }

    @Test
    void aTargetMissingFromASnapshotIsRemoved() {
        apply(true, present());
        apply(true);
        assertThat(registry.find(ID)).isEmpty();
    }

    @Test
    void anUnreadableRowIsLoggedAndTheOthersAreApplied() {
        apply(false, new TargetItem.Unreadable("odd", "no state"), present());
        assertThat(registry.find(ID)).isPresent();
        assertThat(logged).containsExactly(EventCode.ROW_UNREADABLE);
    }
}
