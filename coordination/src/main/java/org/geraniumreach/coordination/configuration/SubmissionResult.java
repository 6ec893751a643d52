package org.geraniumreach.coordination.configuration;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.LogEntry;

/**
 * What a submission came to.
 *
 * <p>Invariant: with OK the entry is the change that is in the log; with CONFLICT it is the record's current one, if the
 * record exists. Immutable and safe for use by several threads.
 *
 * @param code the result
 * @param message what happened, for the operator
 * @param entry the change in the log, or the record that stands against it
 */
public record SubmissionResult(ResultCode code, String message, Optional<LogEntry> entry) {

    public SubmissionResult {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(entry, "entry");
    }

    static SubmissionResult accepted(LogEntry entry) {
        return new SubmissionResult(ResultCode.OK, "accepted as revision " + entry.revision(), Optional.of(entry));
    }

    static SubmissionResult refused(ResultCode code, String message) {
        return new SubmissionResult(code, message, Optional.empty());
    }

    public boolean isAccepted() {
        return code == ResultCode.OK;
    }
}
