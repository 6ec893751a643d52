package org.geraniumreach.control;

import org.geraniumreach.model.ResultCode;

/**
 * Exit codes of the command line, listed in docs/OPERATIONS.md.
 *
 * <p>Invariant: a number is never reused for another meaning.
 */
enum ExitCode {
    OK(0),
    USAGE(1),
    INVALID(2),
    CONFLICT(3),
    REFUSED(4),
    UNREACHABLE(5),
    UNSETTLED(6),
    UNKNOWN_RECORD(7),
    FAULT(9);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /**
     * Returns the exit code for a result code.
     *
     * @param code the result code, not null
     * @return the exit code, not null
     */
    static ExitCode of(ResultCode code) {
        return switch (code) {
            case OK -> OK;
            case CONFLICT, OPERATION_REUSED -> CONFLICT;
            case OPERATOR_REFUSED -> REFUSED;
            case RECORD_UNKNOWN -> UNKNOWN_RECORD;
            case SUBMISSION_UNSETTLED -> UNSETTLED;
            case ENTRY_UNREACHABLE, STORE_UNAVAILABLE, DRAINING, OVERLOADED -> UNREACHABLE;
            case RECORD_INVALID,
                    REFERENCE_DANGLING,
                    SCHEMA_VERSION_UNKNOWN,
                    MALFORMED_REQUEST,
                    BODY_TOO_LARGE -> INVALID;
            default -> FAULT;
        };
    }
}
