package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DepartureLogTest {

    private static final TargetId ID = TargetId.of("t");
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1_200);

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final List<String> lines = new ArrayList<>();

    DepartureLogTest() {
        registry.addListener(new DepartureLog((event, subject, fields) -> lines.add(event.name()
                + Arrays.stream(fields)
                        .filter(field -> field.name().equals("cause"))
                        .map(field -> " " + field.value())
                        .collect(Collectors.joining()))));
        registry.put(TestTargets.describe(ID, 1));
    }

    private void writeHeartbeats(int count) {
        for (int heartbeat = 0; heartbeat < count; heartbeat++) {
            registry.put(TestTargets.describe(ID, 1));
            time.advance(HEARTBEAT_INTERVAL);
        }
    }

    // Guards against logs that do not tell which of several notices took a target out of use and what brought it back.
    @Test
    void theReturnOfARemovedTargetIsLoggedOnce() {
        registry.onRowRemoved(ID);
        registry.onRowRemoved(ID);
        writeHeartbeats(8);
        assertThat(lines).containsExactly("TARGET_DEPARTED ROW_REMOVED", "TARGET_RETURN_DOUBTED", "TARGET_RETURNED");
    }

    @Test
    void aRowThatIsRemovedInAStoreOutageAndNotRewrittenIsLogged() {
        registry.onStoreUnavailable();
        time.advance(Duration.ofSeconds(5));
        registry.onRowRemoved(ID);
        registry.onRowRemoved(ID);
        registry.onStoreAvailable();
        time.advance(LapsedRows.ROW_RETURN_TIMEOUT);
        registry.expire();
        assertThat(lines).containsExactly("TARGET_REMOVAL_HELD", "TARGET_DEPARTED ROW_NOT_REWRITTEN");
    }

    @Test
    void aRestartIsLogged() {
        registry.put(TestTargets.describe(ID, 2));
        assertThat(lines).containsExactly("TARGET_DEPARTED RESTARTED");
    }

    @Test
    void aDrainingRowIsLoggedOnce() {
        TargetDescription draining = TestTargets.describeDraining(ID, 1);
        registry.put(draining);
        registry.put(TestTargets.describe(ID, 1));
        registry.put(draining);
        assertThat(lines).containsExactly("TARGET_DEPARTED DRAINING_ROW");
    }
}
