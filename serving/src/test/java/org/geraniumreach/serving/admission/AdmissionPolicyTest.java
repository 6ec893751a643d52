package org.geraniumreach.serving.admission;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionPolicyTest {

    private static AdmissionController.Estimate estimate(long deadlineMillis, long ahead, double rate, long loadMillis) {
        return new AdmissionController.Estimate(
                Duration.ofMillis(deadlineMillis), ahead, rate, Duration.ofMillis(loadMillis), 100, 100);
    }

    /*
     * A caller waits until its deadline and gets nothing, and its request has taken a place from others. The queue ahead and
     * the load are known when it comes, so it is refused at once, and told when it would be worth while to come back.
     */
    @ParameterizedTest
    @CsvSource({
        "3000, 1000, 1000, 0, true, 0",
        "1500, 1000, 1000, 0, false, 500",
        "1500, 0, 1000, 1200, false, 700",
        "1500, 4000, 0, 0, true, 0",
        "500, 0, 1000, 0, false, 100",
        "0, 0, 1000, 0, false, 100"
    })
    void requestThatCannotMeetItsDeadlineIsRefusedWithARetryDelay(
            long deadline, long ahead, double rate, long load, boolean admitted, long retryMillis) {
        AdmissionController.Decision decision = AdmissionPolicy.DEADLINE.decide(estimate(deadline, ahead, rate, load));
        assertThat(decision.isAdmitted()).isEqualTo(admitted);
        assertThat(decision.retryAfter()).isEqualTo(Duration.ofMillis(retryMillis));
    }
}
