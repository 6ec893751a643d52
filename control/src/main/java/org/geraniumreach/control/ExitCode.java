package org.geraniumreach.control;

import org.geraniumreach.model.ResultCode;

/**
 * The exit codes of the command line; docs/OPERATIONS.md holds the table.
 *
 * <p>Invariant: a number is never used again for something else.
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
     * Gets the exit code that goes with a result.
     *
     * @param code the result, not null
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
