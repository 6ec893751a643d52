package org.geraniumreach.model.record;

import java.util.Objects;

import org.geraniumreach.model.ResultCode;

/**
 * A record that cannot be taken.
 *
 * <p>Invariant: the message names the path within the record and what is wrong there. Immutable.
 */
public final class RecordException extends Exception {

    private final ResultCode code;

    /**
     * Makes an exception.
     *
     * @param code the result, not null
     * @param message the path and the fault, not null
     */
    public RecordException(ResultCode code, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
    }

    /**
     * Makes an exception for a record that is wrong at a path.
     *
     * @param path the path, empty for the whole record, not null
     * @param fault what is wrong, not null
     * @return the exception, not null
     */
    public static RecordException invalid(String path, String fault) {
        return new RecordException(ResultCode.RECORD_INVALID, path.isEmpty() ? fault : path + ": " + fault);
    }

    public ResultCode code() {
        return code;
    }
}
