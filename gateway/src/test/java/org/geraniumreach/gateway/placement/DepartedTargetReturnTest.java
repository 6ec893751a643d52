package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Lets rows come back behind the removal of a target's row, from heartbeats that were on their way or from a live target. */
class DepartedTargetReturnTest {

    private static final TargetId ID = TargetId.of("t");
    private static final TargetDescription READY = TestTargets.describe(ID, 1);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1_200);
    private static final Duration EXPIRY_TIME = HEARTBEAT_INTERVAL.multipliedBy(3);
    private static final Duration OUTAGE = Duration.ofSeconds(5);

    /** Rows are written again within this time of the store's return. */
    private static final Duration ROW_RETURN = Duration.ofSeconds(2);

    /** What happens between the first late heartbeat and the next. */
    enum Disturbance {
        NONE,
        STORE_OUTAGE,
        HISTORY_LOSS,
        HISTORY_LOSS_WITH_ROW,
        PAUSE
    }

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final List<Duration> usedAt = new ArrayList<>();
    private Duration elapsed = Duration.ZERO;

    DepartedTargetReturnTest() {
        registry.put(READY);
    }

    private void advance(Duration duration) {
        Duration step = Duration.ofMillis(100);
        for (Duration left = duration; left.compareTo(Duration.ZERO) > 0; left = left.minus(step)) {
            time.advance(step);
            elapsed = elapsed.plus(step);
            registry.expire();
            recordUse();
        }
    }

    private void recordUse() {
        if (isUsed()) {
            usedAt.add(elapsed);
        }
    }

    private boolean isUsed() {
        return registry.find(ID).filter(Target::acceptsRequests).isPresent();
    }

    private void disturb(Disturbance disturbance) {
        switch (disturbance) {
            case STORE_OUTAGE -> {
                registry.onStoreUnavailable();
                advance(OUTAGE);
                registry.onStoreAvailable();
            }
            case HISTORY_LOSS -> registry.replaceAll(List.of());
            case HISTORY_LOSS_WITH_ROW -> registry.replaceAll(List.of(READY));
            case PAUSE -> time.advance(OUTAGE);
            default -> {}
        }
        recordUse();
    }

    private void writeLateHeartbeats(int count, Duration interval, Disturbance disturbance) {
        for (int heartbeat = 0; heartbeat < count; heartbeat++) {
            advance(interval);
            registry.put(READY);
            recordUse();
            if (heartbeat == 0) {
                disturb(disturbance);
            }
        }
        advance(EXPIRY_TIME);
        registry.onRowRemoved(ID);
        advance(Duration.ofSeconds(20));
    }

    private static Stream<Arguments> lateHeartbeats() {
        return Stream.of(Disturbance.values())
                .flatMap(disturbance -> IntStream.rangeClosed(1, 3).boxed().flatMap(count -> Stream.of(
                                100, 400, 800, 1_500)
                        .map(interval -> Arguments.of(count, Duration.ofMillis(interval), disturbance))));
    }

    // Guards against cut-off answers: several heartbeats that were on their way put the row of a departed target back.
    @ParameterizedTest
    @MethodSource("lateHeartbeats")
    void lateHeartbeatsDoNotBringARemovedTargetBack(int count, Duration interval, Disturbance disturbance) {
        registry.onRowRemoved(ID);
        writeLateHeartbeats(count, interval, disturbance);
        assertThat(usedAt).isEmpty();
    }

    // Guards against cut-off answers: the draining of a target is forgotten with its row, and late heartbeats say
    // ready.
    @ParameterizedTest
    @MethodSource("lateHeartbeats")
    void lateHeartbeatsDoNotBringADrainingTargetBack(int count, Duration interval, Disturbance disturbance) {
        registry.put(TestTargets.describeDraining(ID, 1));
        advance(Duration.ofSeconds(1));
        registry.onRowRemoved(ID);
        writeLateHeartbeats(count, interval, disturbance);
        assertThat(usedAt).isEmpty();
    }

    // Guards against the use of a target that has said that it leaves and goes on writing heartbeats that say ready.
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void aTargetThatHasBeenDrainingNeverReturns(Disturbance disturbance) {
        registry.put(TestTargets.describeDraining(ID, 1));
        advance(Duration.ofSeconds(1));
        registry.onRowRemoved(ID);
        writeLateHeartbeats(30, HEARTBEAT_INTERVAL, disturbance);
        assertThat(usedAt).isEmpty();
    }

    // Guards against late heartbeats of two short returns of a row that are counted together.
    @Test
    void heartbeatsBeforeAnotherRemovalDoNotCount() {
        registry.onRowRemoved(ID);
        for (int repetition = 0; repetition < 5; repetition++) {
            writeLateHeartbeats(2, HEARTBEAT_INTERVAL, Disturbance.NONE);
        }
        assertThat(usedAt).isEmpty();
    }

    // Guards against the loss of a live target that was cut off from the store until its row was removed.
    @ParameterizedTest
    @ValueSource(ints = {900, 1_200, 1_400})
    void aTargetThatResumesItsHeartbeatsReturns(int interval) {
        registry.onRowRemoved(ID);
        advance(Duration.ofSeconds(5));
        assertThat(usedAt).isEmpty();
        Duration resumed = elapsed;
        while (elapsed.compareTo(resumed.plusSeconds(20)) < 0) {
            registry.put(READY);
            advance(Duration.ofMillis(interval));
        }
        assertThat(usedAt.get(0).minus(resumed)).isBetween(EXPIRY_TIME, Duration.ofSeconds(5));
        assertThat(isUsed()).isTrue();
    }

    // Guards against the loss of a live target whose heartbeats change nothing in its row, so that they are not read.
    @Test
    void aTargetWhoseRowIsNotRemovedAgainReturns() {
        registry.onRowRemoved(ID);
        registry.put(READY);
        advance(EXPIRY_TIME.multipliedBy(2));
        assertThat(usedAt).isEmpty();
        advance(Duration.ofSeconds(3));
        assertThat(isUsed()).isTrue();
    }

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void aRestartedTargetReturnsAtOnce(Disturbance disturbance) {
        registry.put(TestTargets.describeDraining(ID, 1));
        registry.onRowRemoved(ID);
        registry.put(READY);
        disturb(disturbance);
        registry.put(TestTargets.describe(ID, 2));
        assertThat(isUsed()).isTrue();
        registry.put(READY);
        assertThat(registry.find(ID).orElseThrow().description().startedAt()).isEqualTo(2);
    }

    // Guards against the loss of all targets at once behind an outage in which their rows have lapsed.
    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 1_900})
    void aLiveTargetWhoseRowLapsesIsUsedOn(int returnMillis) {
        registry.onStoreUnavailable();
        advance(OUTAGE);
        registry.onRowRemoved(ID);
        registry.onStoreAvailable();
        advance(Duration.ofMillis(returnMillis));
        assertThat(isUsed()).isTrue();
        Duration returned = elapsed;
        while (elapsed.compareTo(returned.plusSeconds(10)) < 0) {
            registry.put(READY);
            assertThat(isUsed() || elapsed.minus(returned).compareTo(ROW_RETURN) < 0)
                    .isTrue();
            advance(HEARTBEAT_INTERVAL);
        }
        assertThat(isUsed()).isTrue();
    }

    // Guards against the loss of a live target whose row, written again, is read with the whole table.
    @Test
    void aLapsedRowThatIsListedAgainCountsAsWritten() {
        registry.onStoreUnavailable();
        advance(OUTAGE);
        registry.onStoreAvailable();
        registry.replaceAll(List.of());
        advance(Duration.ofMillis(1_600));
        registry.replaceAll(List.of(READY));
        advance(HEARTBEAT_INTERVAL.minusMillis(100));
        registry.put(READY);
        advance(Duration.ofSeconds(5));
        assertThat(isUsed()).isTrue();
    }

    // Guards against requests to a target that left in an outage, whose late heartbeats come close together behind it.
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void closeLateHeartbeatsDoNotKeepATargetWhoseRowWentInAnOutage(int count) {
        registry.onStoreUnavailable();
        advance(OUTAGE);
        registry.onRowRemoved(ID);
        registry.onStoreAvailable();
        Duration recovered = elapsed;
        writeLateHeartbeats(count, Duration.ofMillis(200), Disturbance.NONE);
        assertThat(usedAt).allMatch(used -> used.minus(recovered).compareTo(Duration.ofSeconds(3)) < 0);
    }

    // Guards against a removal that is held for longer if it is read from another entry, whose update is applied before
    // the
    // store counts as available again.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRemovalIsHeldForTheSameTimeWhicheverEntryReadIt(boolean isReadByAnotherEntry) {
        registry.onStoreUnavailable();
        advance(OUTAGE);
        if (isReadByAnotherEntry) {
            registry.onRowRemoved(ID);
            registry.onStoreAvailable();
        } else {
            registry.onStoreAvailable();
            registry.onRowRemoved(ID);
        }
        Duration recovered = elapsed;
        advance(Duration.ofSeconds(5));
        assertThat(usedAt).allMatch(used -> used.minus(recovered).compareTo(ROW_RETURN) < 0);
    }
}
