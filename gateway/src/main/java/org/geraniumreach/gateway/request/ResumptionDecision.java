package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.geraniumreach.gateway.stream.OriginAnswer;
import org.geraniumreach.gateway.stream.StreamOrigin;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.ResultCode;

/**
 * The decision on a stream that a caller takes up again.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result the result
 * @param origin the service and software version at which the stream goes on, empty unless it does
 * @param candidates the targets of that version that accept requests
 */
record ResumptionDecision(Result result, Optional<StreamOrigin> origin, int candidates) {

    /** Links to entries that have restarted are open again by then. */
    private static final Duration NOT_ANSWERED_RETRY_AFTER = Duration.ofMillis(400);

    /** The result of a decision. */
    enum Result {
        /** The stream goes on. */
        RESUMED,
        /** The caller names no attempt that began the stream, and the service has several versions. */
        NO_FIRST_ATTEMPT,
        /** No entry that would know what began the stream does. */
        ORIGIN_UNKNOWN,
        /** Entries that would know what began the stream have not answered. */
        ORIGIN_NOT_ANSWERED,
        /** The stream was begun by a service to which its route does not lead any more. */
        OTHER_SERVICE,
        /** No target of the version that began the stream accepts requests. */
        VERSION_GONE
    }

    ResumptionDecision {
        Objects.requireNonNull(result, "result");
        if ((result == Result.RESUMED) != origin.isPresent()) {
            throw new IllegalArgumentException(result + " with origin " + origin);
        }
    }

    /**
     * Decides on a stream.
     *
     * @param isNamed whether the caller names the attempt that began it
     * @param answer what is known of the origin, not null
     * @param route the route of the request, not null
     * @param candidateCount counts the targets of an origin's version that accept requests, not null
     * @return the decision, not null
     */
    static ResumptionDecision of(
            boolean isNamed, OriginAnswer answer, Route route, ToIntFunction<StreamOrigin> candidateCount) {
        if (answer.origin().isEmpty()) {
            return refused(unknownResult(isNamed, answer.source()));
        }
        StreamOrigin origin = answer.origin().get();
        if (!route.leadsTo(origin.service())) {
            return refused(Result.OTHER_SERVICE);
        }
        int candidates = candidateCount.applyAsInt(origin);
        boolean isSoleVersion = answer.source() == OriginAnswer.Source.SOLE_VERSION;
        return candidates > 0 || isSoleVersion
                ? new ResumptionDecision(Result.RESUMED, Optional.of(origin), candidates)
                : refused(Result.VERSION_GONE);
    }

    private static ResumptionDecision refused(Result result) {
        return new ResumptionDecision(result, Optional.empty(), 0);
    }

    private static Result unknownResult(boolean isNamed, OriginAnswer.Source source) {
        if (!isNamed) {
            return Result.NO_FIRST_ATTEMPT;
        }
        return source == OriginAnswer.Source.NOT_ANSWERED ? Result.ORIGIN_NOT_ANSWERED : Result.ORIGIN_UNKNOWN;
    }

    /** Gets the refusal of a stream that does not go on; coming back helps only if entries have not answered. */
    Refusal refusal() {
        return switch (result) {
            case ORIGIN_NOT_ANSWERED -> Refusal.withRetryAfter(
                    ResultCode.STREAM_ORIGIN_UNKNOWN,
                    "entries that may know what began the stream have not answered",
                    NOT_ANSWERED_RETRY_AFTER);
            case NO_FIRST_ATTEMPT, ORIGIN_UNKNOWN -> Refusal.of(
                    ResultCode.STREAM_ORIGIN_UNKNOWN, "the software version that began the stream is not known");
            case OTHER_SERVICE, VERSION_GONE -> Refusal.of(
                    ResultCode.STREAM_VERSION_GONE, "no target of the software version that began the stream is left");
            case RESUMED -> throw new IllegalStateException("the stream goes on");
        };
    }
}
