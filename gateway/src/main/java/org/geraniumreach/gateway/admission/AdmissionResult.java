package org.geraniumreach.gateway.admission;

/** The results of decisions in log events and metrics. */
public enum AdmissionResult {
    /** The prompt may be sent. */
    ADMITTED,
    /** The request waits. */
    QUEUED,
    /** Rejected, since the request cannot start within its maximum delay. */
    REJECTED_NO_TIME,
    /** Rejected, since the queue is full of requests that are at least as urgent. */
    REJECTED_QUEUE_FULL,
    /** Rejected, since a more urgent request has taken its place. */
    REJECTED_DISPLACED;

    static AdmissionResult of(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Rejected rejected) {
            return switch (rejected.reason()) {
                case NO_TIME -> REJECTED_NO_TIME;
                case QUEUE_FULL -> REJECTED_QUEUE_FULL;
                case DISPLACED -> REJECTED_DISPLACED;
            };
        }
        return decision instanceof AdmissionDecision.Queued ? QUEUED : ADMITTED;
    }
}
