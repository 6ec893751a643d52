package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class TargetLimitsTest {

    private static final Optional<RequestRate> TWO = Optional.of(new RequestRate(2));
    private static final TargetSignals LIMITED = new TargetSignals(TWO, Optional.empty(), false, true);
    private static final TargetSignals UNLIMITED = new TargetSignals(Optional.empty(), Optional.empty(), false, true);
    private static final Duration MILLISECOND = Duration.ofMillis(1);

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final List<EventCode> events = new ArrayList<>();
    private final List<LimitReport> changes = new ArrayList<>();
    private final TargetLimits limits = new TargetLimits(time, (event, id, fields) -> events.add(event));

    TargetLimitsTest() {
        limits.setChangeListener((target, report) -> changes.add(report));
        put(1);
    }

    private void put(long startedAt) {
        registry.put(TestTargets.describe(TargetId.of("t1"), startedAt));
    }

    private Target target() {
        return registry.find(TargetId.of("t1")).orElseThrow();
    }

    private void call(TargetSignals answer) {
        limits.onCall(target()).accept(answer);
        time.advance(MILLISECOND);
    }

    @Test
    void aLimitHoldsUntilAnAnswerNamesNone() {
        call(LIMITED);
        time.advance(Duration.ofHours(1));
        assertThat(limits.limit(target())).isEqualTo(TWO);
        call(UNLIMITED);
        assertThat(limits.limit(target())).isEmpty();
        assertThat(events).containsExactly(EventCode.TARGET_LIMITED, EventCode.TARGET_LIMIT_ENDED);
        assertThat(changes).extracting(LimitReport::rate).containsExactly(TWO, Optional.empty());
    }

    // Guards against lifting a limit by an answer that the target gave before it named the limit.
    @Test
    void anOvertakenAnswerDoesNotEndALimit() {
        Consumer<TargetSignals> slow = limits.onCall(target());
        time.advance(MILLISECOND);
        call(LIMITED);
        slow.accept(UNLIMITED);
        assertThat(limits.limit(target())).isEqualTo(TWO);
    }

    @Test
    void anAnswerThatRanNothingDoesNotEndALimit() {
        call(LIMITED);
        call(new TargetSignals(Optional.empty(), Optional.empty(), false, false));
        assertThat(limits.limit(target())).isEqualTo(TWO);
    }

    // Guards against lifting a limit by a delayed message of another entry.
    @ParameterizedTest
    @CsvSource({"2000, true", "3500, false"})
    void anotherEntrysReportEndsALimitOnlyIfItIsNewerByMoreThanMessagesAreDelayed(long laterMillis, boolean limited) {
        call(LIMITED);
        time.advance(Duration.ofMillis(laterMillis));
        limits.onReport(target(), new LimitReport(Optional.empty(), Duration.ZERO));
        assertThat(limits.limit(target()).isPresent()).isEqualTo(limited);
    }

    @Test
    void anOlderReportIsIgnored() {
        call(LIMITED);
        time.advance(Duration.ofSeconds(1));
        limits.onReport(target(), new LimitReport(Optional.of(new RequestRate(9)), Duration.ofSeconds(5)));
        assertThat(limits.limit(target())).isEqualTo(TWO);
    }

    // Guards against an entry that forgets a limit when the target's row lapses and returns.
    @Test
    void aLimitHoldsIfTheRowOfTheSameIncarnationReturns() {
        call(LIMITED);
        Target former = target();
        registry.onRowRemoved(former.id());
        for (int heartbeat = 0; heartbeat < 4; heartbeat++) {
            put(1);
            time.advance(Duration.ofMillis(1_200));
        }
        assertThat(target()).isNotSameAs(former);
        assertThat(limits.limit(target())).isEqualTo(TWO);
    }

    @Test
    void aRestartedTargetHasNoLimit() {
        Target former = target();
        Consumer<TargetSignals> pending = limits.onCall(former);
        call(LIMITED);
        put(2);
        pending.accept(LIMITED);
        assertThat(target()).isNotSameAs(former);
        assertThat(limits.limit(target())).isEmpty();
    }
}
