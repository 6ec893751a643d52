package org.geraniumreach.serving.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides at once whether a request is taken in or refused; it is never held back.
 *
 * <p>Contract: implementations are stateless and safe for use by several threads.
 */
@FunctionalInterface
public interface AdmissionController {

    /**
     * Decides.
     *
     * @param estimate what is known of the request's way, not null
     * @return the decision, not null
     */
    Decision decide(Estimate estimate);

    /**
     * What is known of a request's way at a target.
     *
     * @param timeToDeadline what is left of its deadline
     * @param tokensAhead the tokens to be worked off before its turn
     * @param tokensPerSecond the rate at which the target works, 0 if not known
     * @param loadWait how long its adapter is still to be waited for
     * @param requestTokens the tokens that it needs itself
     * @param requestTokensPerSecond the rate at which one request runs, 0 if not known
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
         * Works out how long the request waits before it runs.
         *
         * @return the wait in seconds
         */
        double waitSeconds() {
            double queue = tokensPerSecond > 0 ? tokensAhead / tokensPerSecond : 0;
            return Math.max(queue, loadWait.toNanos() / 1e9);
        }

        double runSeconds() {
            return requestTokensPerSecond > 0 ? requestTokens / requestTokensPerSecond : 0;
        }
    }

    /**
     * The decision on a request.
     *
     * @param isAdmitted whether it is taken in
     * @param retryAfter when to come back, if it is not
     */
    record Decision(boolean isAdmitted, Duration retryAfter) {

        private static final Decision ADMITTED = new Decision(true, Duration.ZERO);

        /**
         * Obtains the decision to take a request in.
         *
         * @return the decision, not null
         */
        public static Decision admitted() {
            return ADMITTED;
        }

        /**
         * Makes the decision to refuse a request.
         *
         * @param retryAfter when to come back, not null
         * @return the decision, not null
         */
        public static Decision refused(Duration retryAfter) {
            return new Decision(false, retryAfter);
        }
    }
}
