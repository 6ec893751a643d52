package org.geraniumreach.serving.admission;

import java.time.Duration;

/** The policies for admission. Settings use the names of the constants. */
public enum AdmissionPolicy implements AdmissionController {
    /** Admits every request; one that is not served in time fails at its deadline. */
    ALWAYS {
        @Override
        public Decision decide(Estimate estimate) {
            return Decision.admitted();
        }
    },
    /** Refuses a request that cannot meet its deadline. */
    DEADLINE {
        @Override
        public Decision decide(Estimate estimate) {
            double remainingSeconds = estimate.timeToDeadline().toNanos() / NANOS_PER_SECOND;
            double excessSeconds = estimate.waitSeconds() + estimate.runSeconds() - remainingSeconds;
            if (remainingSeconds > 0 && excessSeconds <= 0) {
                return Decision.admitted();
            }
            double retrySeconds = Math.min(estimate.waitSeconds(), Math.max(excessSeconds, 0));
            return Decision.refused(atLeastMinimumDelay(Duration.ofNanos((long) (retrySeconds * NANOS_PER_SECOND))));
        }
    };

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(100);

    private static Duration atLeastMinimumDelay(Duration delay) {
        return delay.compareTo(MINIMUM_RETRY_DELAY) < 0 ? MINIMUM_RETRY_DELAY : delay;
    }
}
