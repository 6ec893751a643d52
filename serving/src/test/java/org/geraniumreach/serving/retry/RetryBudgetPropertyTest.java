package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumreach.serving.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetPropertyTest {

    private static final double RATIO = 0.2;
    private static final double FLOOR_PER_SECOND = 2;
    private static final double CAPACITY = 10;
    private static final int MAXIMUM_RETRIES = 10_000;

    /*
     * Guards against a retry storm: when one failure domain is lost, immediate retries of all failed requests would
     * double the load on the remaining targets until they fail too.
     */
    @Property(seed = "41", tries = 500)
    void retriesNeverExceedTheBudgetEarnedBySuccessesAndTime(
            @ForAll @Size(max = 400) List<@IntRange(max = 9) Integer> steps) {
        ManualClock clock = new ManualClock();
        RetryBudget budget = RetryBudget.create(clock, RATIO, FLOOR_PER_SECOND, CAPACITY);
        int successes = 0;
        int retries = 0;
        for (int step : steps) {
            if (step == 0) {
                clock.advance(Duration.ofMillis(137));
            } else if (step < 4) {
                budget.onSuccess();
                successes++;
            } else if (budget.tryAcquire()) {
                retries++;
            }
            double earned = RATIO * successes + FLOOR_PER_SECOND * clock.nanos() / 1e9 + CAPACITY;
            assertThat((double) retries).isLessThanOrEqualTo(earned + 1e-6);
        }
    }

    @Property(seed = "42", tries = 50)
    void floorRateIsGrantedWhenNothingSucceeds(@ForAll @IntRange(min = 1, max = 60) int seconds) {
        ManualClock clock = new ManualClock();
        RetryBudget budget = RetryBudget.create(clock, RATIO, FLOOR_PER_SECOND, CAPACITY);
        int retries = 0;
        for (int second = 0; second < seconds; second++) {
            clock.advance(Duration.ofSeconds(1));
            retries += retryUntilDenied(budget);
        }
        assertThat(retries)
                .isBetween((int) (FLOOR_PER_SECOND * seconds), (int) (FLOOR_PER_SECOND * seconds + CAPACITY));
    }

    /*
     * Guards against a burst of retries when a failure domain is lost after an hour without failures, which would
     * happen if the retries earned in that hour accumulated without a bound.
     */
    @Test
    void unusedRetriesDoNotAccumulateBeyondTheCapacity() {
        ManualClock clock = new ManualClock();
        RetryBudget budget = RetryBudget.create(clock, RATIO, FLOOR_PER_SECOND, CAPACITY);
        for (int success = 0; success < 100_000; success++) {
            budget.onSuccess();
        }
        clock.advance(Duration.ofHours(1));
        assertThat(retryUntilDenied(budget)).isEqualTo((int) CAPACITY);
    }

    private static int retryUntilDenied(RetryBudget budget) {
        int retries = 0;
        while (retries < MAXIMUM_RETRIES && budget.tryAcquire()) {
            retries++;
        }
        return retries;
    }
}
