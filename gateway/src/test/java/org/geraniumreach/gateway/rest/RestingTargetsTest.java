package org.geraniumreach.gateway.rest;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RestingTargetsTest {

    private static final TargetId ID = TargetId.of("t1");

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final RestingTargets resting = new RestingTargets(time, (event, id, fields) -> {});

    private Target join(long startedAt) {
        writeRow(startedAt);
        return registry.find(ID).orElseThrow();
    }

    private void writeRow(long startedAt) {
        registry.put(TestTargets.describe(ID, startedAt));
    }

    private void refuse(Target target, long restMillis) {
        resting.onCall(target)
                .accept(new TargetSignals(Optional.empty(), Optional.of(Duration.ofMillis(restMillis)), false, false));
    }

    @Test
    void aTargetRestsForTheTimeThatItAskedFor() {
        Target target = join(1);
        refuse(target, 3_000);
        time.advance(Duration.ofMillis(2_999));
        assertThat(resting.timeUntilRested(target)).isEqualTo(Duration.ofMillis(1));
        time.advance(Duration.ofMillis(1));
        assertThat(resting.timeUntilRested(target)).isZero();
    }

    // Guards against ending a rest by the answer to a call that was under way when the target asked for it.
    @Test
    void aLaterAnswerDoesNotShortenARest() {
        Target target = join(1);
        refuse(target, 3_000);
        refuse(target, 1_000);
        resting.onCall(target).accept(new TargetSignals(Optional.empty(), Optional.empty(), false, true));
        assertThat(resting.timeUntilRested(target)).isEqualTo(Duration.ofSeconds(3));
    }

    // Guards against an entry that forgets a rest when the target's row lapses and returns.
    @Test
    void aRestIsKeptForTheSameIncarnationOnly() {
        refuse(join(1), 10_000);
        registry.onRowRemoved(ID);
        for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
            writeRow(1);
            time.advance(Duration.ofMillis(1_200));
        }
        assertThat(resting.timeUntilRested(join(1))).isEqualTo(Duration.ofMillis(6_400));
        assertThat(resting.timeUntilRested(join(2))).isZero();
    }
}
