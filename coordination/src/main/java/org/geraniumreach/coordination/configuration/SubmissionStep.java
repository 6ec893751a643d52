package org.geraniumreach.coordination.configuration;

import java.time.Duration;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** The next step of a {@link SubmissionProcess}, which the caller performs and whose outcome it reports. */
public sealed interface SubmissionStep {

    /**
     * Reads a row. The outcome is reported by {@link SubmissionProcess#onRowRead} or {@link SubmissionProcess#onReadFailed}.
     *
     * @param key the key of the row
     */
    record Read(RowKey key) implements SubmissionStep {}

    /**
     * Updates the configuration from the table. The outcome is reported by {@link SubmissionProcess#onCaughtUp} or {@link
     * SubmissionProcess#onReadFailed}.
     *
     * @param revision the revision that the configuration must reach
     */
    record CatchUp(long revision) implements SubmissionStep {}

    /**
     * Applies a transaction at most once. The outcome is reported by {@link SubmissionProcess#onCommitAnswered} or {@link
     * SubmissionProcess#onCommitFailed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements SubmissionStep {}

    /**
     * Waits. The end is reported by {@link SubmissionProcess#onWaitFinished}.
     *
     * @param duration the time to wait
     */
    record Wait(Duration duration) implements SubmissionStep {}

    /**
     * Ends the submission.
     *
     * @param result the outcome
     */
    record Done(SubmissionResult result) implements SubmissionStep {}
}
