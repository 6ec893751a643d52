package org.geraniumreach.serving.admission;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionPolicyTest {

    private static AdmissionController.Estimate estimate(
            long deadlineMillis, long tokensAhead, double tokensPerSecond, long loadMillis) {
        return new AdmissionController.Estimate(
                Duration.ofMillis(deadlineMillis),
                tokensAhead,
                tokensPerSecond,
                Duration.ofMillis(loadMillis),
                100,
                100);
    }

    /*
     * Guards against a caller that waits until its deadline for nothing while its request takes capacity from others.
     * The queue and the load time are known on arrival, so the request is refused immediately with a useful retry
     * delay.
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
            long deadlineMillis,
            long tokensAhead,
            double tokensPerSecond,
            long loadMillis,
            boolean admitted,
            long retryMillis) {
        AdmissionController.Decision decision =
                AdmissionPolicy.DEADLINE.decide(estimate(deadlineMillis, tokensAhead, tokensPerSecond, loadMillis));
        assertThat(decision.isAdmitted()).isEqualTo(admitted);
        assertThat(decision.retryAfter()).isEqualTo(Duration.ofMillis(retryMillis));
    }
}
