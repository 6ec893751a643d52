package org.geraniumreach.coordination.configuration;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.LogEntry;

/**
 * The outcome of a submission.
 *
 * <p>Invariant: with OK the entry is the committed change; with CONFLICT it is the current entry of the record, if the
 * record exists. Immutable and safe for use by several threads.
 *
 * @param code the result code
 * @param message a description of the outcome for the operator
 * @param entry the committed change, or the entry that conflicts with the submission
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
