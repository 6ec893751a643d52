package org.geraniumreach.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The numbered results that are returned to callers and operators, which docs/RESULT-CODES.md lists.
 *
 * <p>Invariant: a number is never reused for another result. Ranges: 1xx invalid request; 2xx request not permitted; 3xx
 * temporarily refused; 4xx outcome of a started request; 5xx operator submission; 9xx internal fault.
 */
public enum ResultCode {
    OK(0, 200, "The request succeeded."),
    MALFORMED_REQUEST(100, 400, "The request cannot be read: its syntax, a type or a missing field is wrong."),
    BODY_TOO_LARGE(101, 413, "The body is above the limit."),
    HEADERS_TOO_LARGE(102, 431, "The headers are above the limit."),
    UNKNOWN_PATH(103, 404, "No such path or method."),
    ADAPTER_VERSION_MISSING(104, 400, "The model must name adapter and version, as adapter@version."),
    ADAPTER_UNKNOWN(105, 404, "The adapter or version does not exist."),
    SERVICE_UNKNOWN(106, 404, "The service does not exist."),
    TOKENS_OUT_OF_RANGE(107, 400, "The number of tokens asked for is outside what is allowed."),
    IDEMPOTENCY_KEY_REUSED(108, 422, "The idempotency key was used with another body."),
    IDEMPOTENCY_KEY_MISSING(109, 400, "The operation may run once only and needs an Idempotency-Key."),
    REQUEST_ABOVE_BURST(110, 400, "The request needs more tokens than the client account's burst."),
    KEY_MISSING(200, 401, "No key came with the request."),
    KEY_REFUSED(201, 401, "The key is unknown or withdrawn."),
    ADAPTER_NOT_ASSIGNED(202, 403, "The adapter is not assigned to the client account."),
    OPERATOR_REFUSED(203, 403, "The operator credential is missing or wrong."),
    OUT_OF_BUDGET(300, 429, "The client account is above its rate."),
    OVERLOADED(301, 503, "No target can take the request before its deadline."),
    NO_TARGET(302, 503, "No live target offers what was asked for."),
    NOT_FRESH(303, 503, "This instance cannot confirm that its configuration is current."),
    DRAINING(304, 503, "This instance is leaving and takes no new work."),
    STORE_UNAVAILABLE(305, 503, "The table service cannot be reached, and the request may not run without it."),
    LOAD_FAILED(306, 503, "The adapter could not be loaded."),
    FENCED(307, 503, "A newer companion has taken over the target."),
    DEADLINE_EXCEEDED(308, 504, "The deadline passed before the request was done."),
    STREAM_ORIGIN_UNKNOWN(309, 503, "It is not known which software version began the stream that is to go on."),
    STREAM_VERSION_GONE(310, 503, "No target is left of the software version that began the stream."),
    SUSPECTED(311, 503, "Targets have ended under the request or a part of its prompt; it is not run for a while."),
    IN_PROGRESS(400, 409, "A request with this idempotency key is running."),
    OUTCOME_UNKNOWN(401, 502, "The request was sent and its outcome cannot be found out."),
    ANSWER_INTERRUPTED(402, 502, "The answer broke off and could not be resumed."),
    WRONG_ADAPTER_SERVED(403, 502, "The target ran another adapter or version; its answer is withheld."),
    TARGET_FAILED(404, 502, "The target reported a failure."),
    CANCELLED(405, 499, "The caller went away or the key was withdrawn."),
    NOT_RUN(406, 503, "The request was given up before it started."),
    CONFLICT(500, 409, "Another submission came first."),
    RECORD_INVALID(501, 422, "The record is wrong."),
    RECORD_UNKNOWN(502, 404, "The record does not exist."),
    REFERENCE_DANGLING(503, 422, "The record refers to, or is referred to by, another one that would be missing."),
    SCHEMA_VERSION_UNKNOWN(504, 422, "The record's schema version is newer than this instance knows."),
    SUBMISSION_UNSETTLED(505, 503, "Whether the submission took effect could not be found out yet."),
    OPERATION_REUSED(506, 422, "The operation id was used for another change."),
    ENTRY_UNREACHABLE(507, 503, "No entry could be reached by the command line; nothing was changed."),
    INTERNAL_ERROR(900, 500, "A fault of the system.");

    private final int number;
    private final int httpStatus;
    private final String meaning;

    ResultCode(int number, int httpStatus, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.meaning = meaning;
    }

    /**
     * Finds a code by its number.
     *
     * @param number the number
     * @return the code, or empty if no code has this number
     */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
    }

    /**
     * Gets the number of the code.
     *
     * @return the number, whose meaning never changes
     */
    public int number() {
        return number;
    }

    /**
     * Gets the HTTP status that is sent with the code.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Gets the meaning of the code.
     *
     * @return the meaning as one sentence, not null
     */
    public String meaning() {
        return meaning;
    }
}
