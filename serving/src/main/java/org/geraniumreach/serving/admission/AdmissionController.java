package org.geraniumreach.serving.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides whether a request is admitted or refused, without waiting.
 *
 * <p>Contract: implementations are stateless and safe for use by several threads.
 */
@FunctionalInterface
public interface AdmissionController {

    /**
     * Decides whether to admit a request.
     *
     * @param estimate the estimate for the request, not null
     * @return the decision, not null
     */
    Decision decide(Estimate estimate);

    /**
     * The estimated work and waiting time of a request at a target.
     *
     * @param timeToDeadline the time until the request's deadline
     * @param tokensAhead the tokens to be processed before the request
     * @param tokensPerSecond the target's throughput, 0 if unknown
     * @param loadWait the time until its adapter is loaded
     * @param requestTokens the tokens that the request itself needs
     * @param requestTokensPerSecond the throughput of a single request, 0 if unknown
     */
    record Estimate(
            Duration timeToDeadline,
            long tokensAhead,
            double tokensPerSecond,
            Duration loadWait,
            long requestTokens,
            double requestTokensPerSecond) {

        public Estimate {
            Objects.requireNonNull(timeToDeadline, "timeToDeadline");
            Objects.requireNonNull(loadWait, "loadWait");
            if (tokensAhead < 0 || requestTokens < 0) {
                throw new IllegalArgumentException("negative tokens: " + tokensAhead + ", " + requestTokens);
            }
        }

        /**
         * Computes the waiting time before the request runs.
         *
         * @return the wait in seconds
         */
        double waitSeconds() {
            double queueSeconds = tokensPerSecond > 0 ? tokensAhead / tokensPerSecond : 0;
            return Math.max(queueSeconds, loadWait.toNanos() / 1e9);
        }

        double runSeconds() {
            return requestTokensPerSecond > 0 ? requestTokens / requestTokensPerSecond : 0;
        }
    }

    /**
     * The decision on a request.
     *
     * @param isAdmitted whether the request is admitted
     * @param retryAfter the delay after which to retry if refused, zero if admitted
     */
    record Decision(boolean isAdmitted, Duration retryAfter) {

        private static final Decision ADMITTED = new Decision(true, Duration.ZERO);

        /**
         * Obtains the decision to admit a request.
         *
         * @return the decision, not null
         */
        public static Decision admitted() {
            return ADMITTED;
        }

        /**
         * Obtains the decision to refuse a request.
         *
         * @param retryAfter the delay after which to retry, not null
         * @return the decision, not null
         */
        public static Decision refused(Duration retryAfter) {
            return new Decision(false, retryAfter);
        }
    }
}
