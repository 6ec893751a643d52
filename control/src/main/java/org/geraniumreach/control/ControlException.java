package org.geraniumreach.control;

import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.ResultCode;

/**
 * Thrown when a command fails.
 *
 * <p>Invariant: the message names the error and its location, and never contains a key or a credential. Immutable.
 */
final class ControlException extends Exception {

    private final ExitCode exitCode;
    private final transient ResultCode code;
    private final transient ObjectNode response;

    private ControlException(ExitCode exitCode, ResultCode code, String message, ObjectNode response) {
        super(message);
        this.exitCode = Objects.requireNonNull(exitCode, "exitCode");
        this.code = Objects.requireNonNull(code, "code");
        this.response = response;
    }

    static ControlException of(ResultCode code, String message) {
        return new ControlException(ExitCode.of(code), code, message, null);
    }

    static ControlException usage(String message) {
        return new ControlException(ExitCode.USAGE, ResultCode.MALFORMED_REQUEST, message, null);
    }

    static ControlException unreachable(String message) {
        return new ControlException(ExitCode.UNREACHABLE, ResultCode.ENTRY_UNREACHABLE, message, null);
    }

    static ControlException fromResponse(ResultCode code, String message, ObjectNode response) {
        return new ControlException(ExitCode.of(code), code, message, response);
    }

    ExitCode exitCode() {
        return exitCode;
    }

    ResultCode code() {
        return code;
    }

    /**
     * Returns the current record that a submission conflicts with.
     *
     * @return the record and its revision as JSON, or null if the response contained none
     */
    ObjectNode currentRecord() {
        return response != null && response.path("current").isObject() ? (ObjectNode) response.get("current") : null;
    }
}
