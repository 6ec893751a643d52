package org.geraniumreach.serving.admission;

import java.time.Duration;

/** The ways of deciding on admission, by the names that settings use. */
public enum AdmissionPolicy implements AdmissionController {
    /** Every request is taken in and fails at its deadline. */
    ALWAYS {
        @Override
        public Decision decide(Estimate estimate) {
            return Decision.admitted();
        }
    },
    /** A request whose deadline cannot be met is refused at once. */
    DEADLINE {
        @Override
        public Decision decide(Estimate estimate) {
            double left = estimate.timeToDeadline().toNanos() / NANOS_PER_SECOND;
            double excess = estimate.waitSeconds() + estimate.runSeconds() - left;
            if (left > 0 && excess <= 0) {
                return Decision.admitted();
            }
            double wait = Math.min(estimate.waitSeconds(), Math.max(excess, 0));
            return Decision.refused(atLeastMinimumDelay(Duration.ofNanos((long) (wait * NANOS_PER_SECOND))));
        }
    };

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(100);

    private static Duration atLeastMinimumDelay(Duration wait) {
        return wait.compareTo(MINIMUM_RETRY_DELAY) < 0 ? MINIMUM_RETRY_DELAY : wait;
    }
}
