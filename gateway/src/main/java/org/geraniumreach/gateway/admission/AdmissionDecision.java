package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * A decision on a request for admission.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface AdmissionDecision {

    /** The prompt may be sent now. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request waits; its final decision is an {@link Outcome}.
     *
     * @param expectedDelay the time until the admission that is expected from what is ahead of the request, not null
     */
    record Queued(Duration expectedDelay) implements AdmissionDecision {

        public Queued {
            Objects.requireNonNull(expectedDelay, "expectedDelay");
        }
    }

    /**
     * The prompt must not be sent.
     *
     * @param retryAfter the time after which capacity for requests of this urgency is expected, above zero, not null
     * @param reason the reason, not null
     */
    record Rejected(Duration retryAfter, Reason reason) implements AdmissionDecision {

        public Rejected {
            Objects.requireNonNull(retryAfter, "retryAfter");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The reason of a rejection. */
    enum Reason {

        /** The request cannot start within its maximum delay. */
        NO_TIME,

        /** The queue is full of requests that are at least as urgent. */
        QUEUE_FULL,

        /** A more urgent request has taken the place of this one. */
        DISPLACED
    }
}
