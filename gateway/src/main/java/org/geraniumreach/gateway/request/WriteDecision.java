package org.geraniumreach.gateway.request;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.TargetId;

/**
 * Whether a request may be written to a target, and what is known of its earlier runs.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result the result
 * @param rejectedBy the target that has rejected the request last, empty unless all earlier writes were rejected
 */
record WriteDecision(Result result, Optional<TargetId> rejectedBy) {

    /** The result of a decision. */
    enum Result {
        /** The request has not been sent before. */
        FIRST(true),
        /** The request was never written, since no connection was opened. */
        NOT_SENT(true),
        /** Each target that the request was written to has reported that it has not executed it. */
        REJECTED(true),
        /** The request may have run, and its route allows a further run at this target. */
        MAY_RUN_AGAIN(true),
        /** The request may have run, and may run once only. */
        MAY_HAVE_RUN(false),
        /** An earlier run has not ended. */
        RUN_OPEN(false),
        /** The route allows no run at a further target. */
        TOO_MANY_TARGETS(false),
        /** The request has its final answer. */
        REQUEST_ENDED(false),
        /** The time for the request is up, or its route's timeout has passed. */
        TIME_UP(false),
        /** The caller has closed its connection. */
        CALLER_GONE(false);

        private final boolean permitted;

        Result(boolean permitted) {
            this.permitted = permitted;
        }
    }

    WriteDecision {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(rejectedBy, "rejectedBy");
    }

    static WriteDecision permitted(Result result) {
        return new WriteDecision(result, Optional.empty());
    }

    static WriteDecision permittedAfter(Result result, TargetId rejectedBy) {
        return new WriteDecision(result, Optional.of(rejectedBy));
    }

    static WriteDecision forbidden(Result result) {
        return new WriteDecision(result, Optional.empty());
    }

    boolean isPermitted() {
        return result.permitted;
    }
}
