package org.geraniumreach.serving.retry;

import java.time.Duration;
import java.util.Random;

import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.serving.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTest {

    /*
     * Guards against running a non-repeatable request twice, such as a booking whose answer was lost. Only a request
     * known not to have run, or a repeatable one whose response has not started, is retried.
     */
    @ParameterizedTest
    @CsvSource({
        "true, NO, false, 1, true",
        "true, UNKNOWN, false, 1, true",
        "true, YES, false, 2, true",
        "true, UNKNOWN, true, 1, false",
        "false, NO, false, 1, true",
        "false, UNKNOWN, false, 1, false",
        "false, YES, false, 1, false",
        "true, NO, false, 3, false"
    })
    void onlyRepeatableRequestsOrThoseThatDidNotRunAreRetried(
            boolean repeatable, ExecutionStatus ran, boolean responseStarted, int failures, boolean retried) {
        RetryPolicy policy = RetryPolicy.budgeted(
                RetryBudget.create(new ManualClock(), 0.1, 1, 10),
                new Backoff(Duration.ofMillis(10), Duration.ofMillis(100)),
                3,
                new Random(1));
        RetryPolicy.FailedAttempt failure =
                new RetryPolicy.FailedAttempt(repeatable, ran, responseStarted, failures, Duration.ofSeconds(1));
        assertThat(policy.decide(failure).isPresent()).isEqualTo(retried);
    }

    @ParameterizedTest
    @CsvSource({"1, 10", "2, 20", "4, 80", "5, 100", "60, 100"})
    void delaysAreSpreadUpToABoundThatDoublesWithEachFailure(int failures, long bound) {
        Backoff backoff = new Backoff(Duration.ofMillis(10), Duration.ofMillis(100));
        Random random = new Random(1);
        long longest = 0;
        for (int draw = 0; draw < 1000; draw++) {
            long millis = backoff.delay(failures, random).toMillis();
            assertThat(millis).isBetween(0L, bound);
            longest = Math.max(longest, millis);
        }
        assertThat(longest).isGreaterThanOrEqualTo(bound * 9 / 10);
    }
}
