package org.geraniumreach.model.record;

import java.util.Objects;

import org.geraniumreach.model.ResultCode;

/**
 * Reports that a record is invalid or cannot be read.
 *
 * <p>Invariant: the message names the path within the record and the fault. Immutable.
 */
public final class RecordException extends Exception {

    private final ResultCode code;

    /**
     * Creates an exception.
     *
     * @param code the result code, not null
     * @param message the path and the fault, not null
     */
    public RecordException(ResultCode code, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
    }

    /**
     * Creates an exception for an invalid record.
     *
     * @param path the path, empty for the whole record, not null
     * @param fault the description of the fault, not null
     * @return the exception, not null
     */
    public static RecordException invalid(String path, String fault) {
        return new RecordException(ResultCode.RECORD_INVALID, path.isEmpty() ? fault : path + ": " + fault);
    }

    public ResultCode code() {
        return code;
    }
}
