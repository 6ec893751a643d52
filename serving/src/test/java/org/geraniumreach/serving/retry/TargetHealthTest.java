package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetHealthTest {

    private static final int TARGETS = 6;
    private static final EjectionRules RULES = EjectionRules.standard();

    private final ManualClock clock = new ManualClock();
    private final TargetHealth health = health(clock);

    private static TargetHealth health(ManualClock clock) {
        TargetHealth health = TargetHealth.create(RULES, clock, new Random(1));
        IntStream.range(0, TARGETS).forEach(number -> health.add(id(number)));
        return health;
    }

    private static TargetId id(int number) {
        return TargetId.of("target-" + number);
    }

    private int admitted(int number) {
        return (int) IntStream.range(0, 1000)
                .filter(call -> health.admits(id(number)))
                .count();
    }

    private void eject(int number) {
        IntStream.range(0, RULES.consecutiveFailures()).forEach(failure -> health.onFailure(id(number)));
    }

    @Test
    void consecutiveFailuresEjectOnlyAtTheThreshold() {
        IntStream.range(1, RULES.consecutiveFailures())
                .forEach(failure -> assertThat(health.onFailure(id(0))).isEqualTo(TargetHealth.Change.NONE));
        assertThat(health.admits(id(0))).isTrue();
        assertThat(health.onFailure(id(0))).isEqualTo(TargetHealth.Change.EJECTED);
        assertThat(health.admits(id(0))).isFalse();
    }

    @Test
    void errorRateEjectsWithoutConsecutiveFailures() {
        for (int request = 0; request < RULES.leastRequests(); request += 2) {
            health.onSuccess(id(0));
            health.onFailure(id(0));
        }
        assertThat(health.admits(id(0))).isFalse();
    }

    @Test
    void failuresOutsideTheWindowDoNotCount() {
        for (int request = 0; request < 5 * RULES.leastRequests(); request++) {
            health.onSuccess(id(0));
            health.onSuccess(id(0));
            health.onFailure(id(0));
            clock.advance(Duration.ofSeconds(1));
        }
        assertThat(health.admits(id(0))).isTrue();
    }

    /*
     * Guards against recurring waves of failures: a cold target that gets its full share of requests right after its
     * ejection would fail under the load and be ejected again.
     */
    @Test
    void shareOfARecoveringTargetRisesGradually() {
        eject(0);
        clock.advance(RULES.firstEjection());
        assertThat(admitted(0)).isBetween(50, 150);
        clock.advance(RULES.letBack().dividedBy(2));
        assertThat(admitted(0)).isBetween(500, 600);
        clock.advance(RULES.letBack());
        assertThat(admitted(0)).isEqualTo(1000);
        assertThat(health.onSuccess(id(0))).isEqualTo(TargetHealth.Change.RESTORED);
    }

    @Test
    void failureDuringRecoveryDoublesTheEjectionTime() {
        eject(0);
        clock.advance(RULES.firstEjection());
        assertThat(health.onFailure(id(0))).isEqualTo(TargetHealth.Change.EJECTED);
        clock.advance(RULES.firstEjection());
        assertThat(admitted(0)).isZero();
        clock.advance(RULES.firstEjection());
        assertThat(admitted(0)).isPositive();
    }

    /*
     * Guards against refusing all callers although the targets work: when this entry's own network fails briefly, all
     * targets seem to fail at the same time.
     */
    @Property(seed = "51", tries = 200)
    void atMostHalfOfTheTargetsAreEjected(@ForAll @Size(max = 300) List<@IntRange(max = 99) Integer> steps) {
        ManualClock propertyClock = new ManualClock();
        TargetHealth targetHealth = health(propertyClock);
        for (int step : steps) {
            if (step % 10 == 0) {
                propertyClock.advance(Duration.ofMillis(700));
            } else if (step % 10 == 1) {
                targetHealth.onSuccess(id(step / 10 % TARGETS));
            } else {
                targetHealth.onFailure(id(step / 10 % TARGETS));
            }
            long ejected = IntStream.range(0, TARGETS)
                    .filter(number -> IntStream.range(0, 200).noneMatch(call -> targetHealth.admits(id(number))))
                    .count();
            assertThat(ejected).isLessThanOrEqualTo(TARGETS / 2);
        }
    }
}
