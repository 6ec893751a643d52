package org.geraniumreach.gateway.speed;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SlowdownEstimateTest {

    private static final Duration HOLD_TIME = Duration.ofMillis(600);

    private final SlowdownEstimate estimate = new SlowdownEstimate();

    @Test
    void withoutFiguresNothingIsSlower() {
        assertThat(estimate.estimate(0)).isEqualTo(1);
        assertThat(estimate.isObserved()).isFalse();
    }

    /** Guards against trusting a figure that has most probably changed since. */
    @ParameterizedTest
    @CsvSource({"0, 2.5, 2.5", "400, 1.5, 2.1", "4000, 1.0, 1.4"})
    void aFigureCountsLessTheOlderItIs(long ageMillis, double least, double most) {
        estimate.add(2.5, 0);
        assertThat(estimate.estimate(Duration.ofMillis(ageMillis).toNanos())).isBetween(least, most);
    }

    /** Guards against a mean that is determined by the periods in which a target is called often. */
    @ParameterizedTest
    @CsvSource({"1", "4", "30"})
    void theMeanWeighsFiguresByTheTimeThatTheyCover(int callsInSlowPeriods) {
        Random random = new Random(1);
        for (int period = 0; period < 400; period++) {
            long begin = period * HOLD_TIME.toNanos();
            boolean slow = random.nextDouble() < 0.15;
            int calls = slow ? callsInSlowPeriods : 1;
            for (int call = 0; call < calls; call++) {
                estimate.add(slow ? 2.5 : 1, begin + call * HOLD_TIME.toNanos() / calls);
            }
        }
        long muchLater = 400 * HOLD_TIME.toNanos() + Duration.ofSeconds(10).toNanos();
        assertThat(estimate.estimate(muchLater)).isCloseTo(1.225, within(0.2));
    }

    /** Guards against an older figure of another entry that replaces a newer one. */
    @Test
    void anOlderFigureIsIgnored() {
        estimate.add(2, 1_000);
        assertThat(estimate.add(1, 500)).isFalse();
        assertThat(estimate.estimate(1_000)).isEqualTo(2);
    }

    /** Guards against a rate beyond all measure that is derived from a tiny figure. */
    @Test
    void aTinyFigureIsBounded() {
        estimate.add(1e-300, 0);
        assertThat(estimate.estimate(0)).isEqualTo(SlowdownEstimate.MINIMUM);
    }

    /** Guards against a target that counts as slow for ever, since it is avoided and thus reports no other figure. */
    @Test
    void theMeanFadesWithoutFigures() {
        for (int period = 0; period < 100; period++) {
            estimate.add(3, period * HOLD_TIME.toNanos());
        }
        long end = 100 * HOLD_TIME.toNanos();
        assertThat(estimate.estimate(end + Duration.ofSeconds(5).toNanos())).isGreaterThan(2.5);
        assertThat(estimate.estimate(end + Duration.ofMinutes(3).toNanos())).isLessThan(1.1);
    }
}
