package org.geraniumreach.coordination.configuration;

import java.time.Duration;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** What a {@link SubmissionProcess} wants done next; its owner does it and reports what came of it. */
public sealed interface SubmissionStep {

    /**
     * Read a row; report by {@link SubmissionProcess#read} or {@link SubmissionProcess#readFailed}.
     *
     * @param key the row
     */
    record Read(RowKey key) implements SubmissionStep {}

    /**
     * Bring the configuration up to a revision from the table; report by {@link SubmissionProcess#caughtUp} or {@link
     * SubmissionProcess#readFailed}.
     *
     * @param revision the revision
     */
    record CatchUp(long revision) implements SubmissionStep {}

    /**
     * Apply a transaction once; report by {@link SubmissionProcess#committed} or {@link SubmissionProcess#commitFailed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements SubmissionStep {}

    /**
     * Wait; report by {@link SubmissionProcess#waited}.
     *
     * @param duration how long
     */
    record Wait(Duration duration) implements SubmissionStep {}

    /**
     * Nothing more; the submission is done.
     *
     * @param result what it came to
     */
    record Done(SubmissionResult result) implements SubmissionStep {}
}
