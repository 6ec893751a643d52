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

    /** What follows from a result: the request is written, is placed again, or ends here unless another target has it. */
    private enum Consequence {
        WRITTEN,
        PLACED_AGAIN,
        ENDED
    }

    /** The result of a decision. */
    enum Result {
        /** The request has not been sent before. */
        FIRST(Consequence.WRITTEN),
        /** The request was never written, since no connection was opened. */
        NOT_SENT(Consequence.WRITTEN),
        /** Each target that the request was written to has reported that it has not executed it. */
        REJECTED(Consequence.WRITTEN),
        /** The request may have run, and its route allows a further run at this target. */
        MAY_RUN_AGAIN(Consequence.WRITTEN),
        /** The request may have run, and may run once only. */
        MAY_HAVE_RUN(Consequence.ENDED),
        /** An earlier run has not ended. */
        RUN_OPEN(Consequence.ENDED),
        /** The route allows no run at a further target. */
        TOO_MANY_TARGETS(Consequence.ENDED),
        /** The request has its final answer. */
        REQUEST_ENDED(Consequence.ENDED),
        /** The time for the request is up, or its route's timeout has passed. */
        TIME_UP(Consequence.ENDED),
        /** The caller has closed its connection. */
        CALLER_GONE(Consequence.ENDED),
        /** The target takes no more requests. */
        TARGET_LEAVING(Consequence.PLACED_AGAIN),
        /** The target holds a version of the adapter that may not be used any more. */
        VERSION_OUTDATED(Consequence.PLACED_AGAIN),
        /** The target does not hold the adapter any more. */
        ADAPTER_ABSENT(Consequence.PLACED_AGAIN),
        /** What is known of the targets and the versions is older than allowed. */
        ROWS_OUTDATED(Consequence.PLACED_AGAIN);

        private final Consequence consequence;

        Result(Consequence consequence) {
            this.consequence = consequence;
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
        return result.consequence == Consequence.WRITTEN;
    }

    /** Queries whether the request is to be placed again, since its target may no longer be sent it. */
    boolean isPlacedAgain() {
        return result.consequence == Consequence.PLACED_AGAIN;
    }
}
