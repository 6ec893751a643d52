package org.geraniumreach.coordination.configuration;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Commits one submission to the log exactly once.
 *
 * <p>A single transaction requires the version of the head row and the absence of the operation row, and writes the record,
 * the log row, the operation row and the head. Of two concurrent submissions one therefore fails, and retries never add a
 * change to the log twice.
 *
 * <p>Invariants: OK is reported only for a change that was read back or whose commit was answered. A commit whose answer was
 * lost is resolved by reading the operation row; nothing is written again until the head has changed, because until then the
 * lost write may still be applied. A submission that cannot be resolved before the deadline ends with SUBMISSION_UNSETTLED;
 * submitting the same operation id later finds its outcome or continues it.
 *
 * <p>Each method returns the next step. Not safe for use by several threads.
 */
public final class SubmissionProcess {

    private static final long NO_UNSETTLED_WRITE = -1;
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    private final Submission submission;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final long deadline;

    private Configuration configuration;
    private Duration nextRetryDelay = INITIAL_RETRY_DELAY;
    private Optional<RowKey> rowBeingRead = Optional.empty();
    private Optional<LogEntry> pendingEntry = Optional.empty();
    private long headVersion;
    private long headRevision;
    private long unsettledHeadVersion = NO_UNSETTLED_WRITE;

    /**
     * Creates the process for a submission; {@link #start} returns its first step.
     *
     * @param submission the submission, not null
     * @param configuration the current configuration of this instance, not null
     * @param clock the clock, not null
     * @param random the source of jitter for retry delays, not null
     * @param timeout the time after which the submission ends unresolved, not null
     */
    public SubmissionProcess(
            Submission submission,
            Configuration configuration,
            MonotonicClock clock,
            RandomGenerator random,
            Duration timeout) {
        this.submission = Objects.requireNonNull(submission, "submission");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.deadline = clock.nanos() + timeout.toNanos();
    }

    /**
     * Starts the submission.
     *
     * @return the first step, not null
     */
    public SubmissionStep start() {
        return readHead();
    }

    /**
     * Handles the result of a read.
     *
     * @param row the row, or empty if it does not exist, not null
     * @return the next step, not null
     */
    public SubmissionStep onRowRead(Optional<Row> row) {
        RowKey key = rowBeingRead.orElseThrow();
        try {
            if (key.equals(ConfigurationRows.HEAD)) {
                return onHeadRead(row);
            }
            if (key.equals(ConfigurationRows.operationKey(submission.operation()))) {
                return onOperationRead(row);
            }
            if (key.equals(ConfigurationRows.recordKey(submission.key()))) {
                return onRecordRead(row);
            }
            return row.isPresent()
                    ? finishWithEntry(ConfigurationRows.readEntry(row.get().value()))
                    : refuseTrimmedOperation();
        } catch (RecordException malformed) {
            return refuse(ResultCode.INTERNAL_ERROR, "row " + key.key() + " is malformed: " + malformed.getMessage());
        }
    }

    private SubmissionStep onHeadRead(Optional<Row> row) throws RecordException {
        headVersion = row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
        headRevision =
                row.isPresent() ? ConfigurationRows.readRevision(row.get().value()) : 0;
        return readRow(ConfigurationRows.operationKey(submission.operation()));
    }

    private SubmissionStep onOperationRead(Optional<Row> row) throws RecordException {
        if (row.isPresent()) {
            return readRow(ConfigurationRows.logKey(
                    ConfigurationRows.readRevision(row.get().value())));
        }
        /* The unanswered write requires this version of the head. While the head keeps it, the write may still be applied
         * after the operation row was read, so the submission cannot be reported as not accepted. */
        if (headVersion == unsettledHeadVersion) {
            return retryAfterDelay();
        }
        unsettledHeadVersion = NO_UNSETTLED_WRITE;
        if (headRevision > configuration.revision()) {
            return new SubmissionStep.CatchUp(headRevision);
        }
        return readRow(ConfigurationRows.recordKey(submission.key()));
    }

    private SubmissionStep onRecordRead(Optional<Row> row) throws RecordException {
        Optional<LogEntry> current = Optional.empty();
        if (row.isPresent()) {
            current = Optional.of(ConfigurationRows.readEntry(row.get().value()));
        }
        if (current.isPresent() && current.get().operation().equals(submission.operation())) {
            return finishWithEntry(current.get());
        }
        if (current.isPresent() && current.get().revision() > submission.basedOn()) {
            String message = submission.key() + " was changed after revision " + submission.basedOn();
            return finish(new SubmissionResult(ResultCode.CONFLICT, message, current));
        }
        if (headRevision != configuration.revision()) {
            return retryAfterDelay();
        }
        return commit();
    }

    /**
     * Handles an update of the configuration.
     *
     * @param current the updated configuration, not null
     * @return the next step, not null
     */
    public SubmissionStep onCaughtUp(Configuration current) {
        configuration = current;
        return readHead();
    }

    /**
     * Handles a read that was not answered.
     *
     * @return the next step, not null
     */
    public SubmissionStep onReadFailed() {
        return retryAfterDelay();
    }

    /**
     * Handles the end of a wait.
     *
     * @return the next step, not null
     */
    public SubmissionStep onWaitFinished() {
        return readHead();
    }

    /**
     * Handles the answer to a commit.
     *
     * @param tookEffect whether the transaction was applied
     * @return the next step, not null
     */
    public SubmissionStep onCommitAnswered(boolean tookEffect) {
        return tookEffect ? finish(SubmissionResult.accepted(pendingEntry.orElseThrow())) : readHead();
    }

    /**
     * Handles a commit that was not answered.
     *
     * @param mayTakeEffect whether the transaction may have been applied or may still be
     * @return the next step, not null
     */
    public SubmissionStep onCommitFailed(boolean mayTakeEffect) {
        if (mayTakeEffect) {
            unsettledHeadVersion = headVersion;
        }
        return retryAfterDelay();
    }

    private SubmissionStep readHead() {
        if (clock.nanos() - deadline >= 0) {
            return timeOut();
        }
        return readRow(ConfigurationRows.HEAD);
    }

    private SubmissionStep readRow(RowKey key) {
        rowBeingRead = Optional.of(key);
        return new SubmissionStep.Read(key);
    }

    private SubmissionStep commit() {
        Optional<String> body;
        try {
            body = SubmissionCheck.check(submission, configuration);
        } catch (RecordException invalid) {
            return refuse(invalid.code(), submission.key() + ": " + invalid.getMessage());
        }
        LogEntry entry = new LogEntry(headRevision + 1, submission.operation(), submission.key(), body);
        pendingEntry = Optional.of(entry);
        return new SubmissionStep.Commit(transaction(entry));
    }

    private Transaction transaction(LogEntry entry) {
        String value = ConfigurationRows.writeEntry(entry);
        RowKey operation = ConfigurationRows.operationKey(entry.operation());
        return Transaction.empty()
                .withCondition(ConfigurationRows.HEAD, headVersion)
                .withCondition(operation, Transaction.ABSENT_VERSION)
                .withWrite(ConfigurationRows.logKey(entry.revision()), value)
                .withWrite(ConfigurationRows.recordKey(entry.key()), value)
                .withWrite(operation, ConfigurationRows.writeRevision(entry.revision()))
                .withWrite(ConfigurationRows.HEAD, ConfigurationRows.writeRevision(entry.revision()));
    }

    private SubmissionStep finishWithEntry(LogEntry entry) throws RecordException {
        if (!SubmissionCheck.isAppliedAs(submission, entry)) {
            return refuse(
                    ResultCode.OPERATION_REUSED,
                    "operation " + submission.operation() + " was used for another change, of " + entry.key());
        }
        return finish(SubmissionResult.accepted(entry));
    }

    private SubmissionStep refuseTrimmedOperation() {
        return refuse(
                ResultCode.OPERATION_REUSED,
                "operation " + submission.operation() + " was accepted so long ago that the log does not hold it");
    }

    private SubmissionStep retryAfterDelay() {
        if (clock.nanos() - deadline >= 0) {
            return timeOut();
        }
        long delayNanos = nextRetryDelay.toNanos() / 2 + random.nextLong(nextRetryDelay.toNanos() / 2 + 1);
        nextRetryDelay = nextRetryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                ? MAX_RETRY_DELAY
                : nextRetryDelay.multipliedBy(2);
        return new SubmissionStep.Wait(Duration.ofNanos(delayNanos));
    }

    private SubmissionStep timeOut() {
        if (unsettledHeadVersion != NO_UNSETTLED_WRITE) {
            return refuse(
                    ResultCode.SUBMISSION_UNSETTLED,
                    "the table's answer was lost; submit operation " + submission.operation() + " again to find out");
        }
        return refuse(ResultCode.STORE_UNAVAILABLE, "the table service does not answer; this try wrote nothing");
    }

    private SubmissionStep refuse(ResultCode code, String message) {
        return finish(SubmissionResult.refused(code, message));
    }

    private static SubmissionStep finish(SubmissionResult result) {
        return new SubmissionStep.Done(result);
    }
}
