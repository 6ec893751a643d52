package org.geraniumreach.coordination.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.coordination.ledger.LedgerRowFormat.UnreadableRowException;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The state machine of one call with an idempotency key.
 *
 * <p>Invariants: {@link LedgerAction.Send} is returned at most once for an attempt, and only after the row is known to
 * hold that attempt, written by this call; an attempt replaces another one only if the latter was never sent or its
 * companion has reported that it never started and never will; no attempt replaces one that is FINISHED or UNKNOWN.
 * Therefore all calls with the same key together run the request at most once. A refusal with {@link
 * ExecutionStatus#NO} is returned only while every attempt of this call is unsent, sealed or refused by its companion
 * as not run.
 *
 * <p>Each event returns one action, and the next event reports the result of that action. Not safe for use by several
 * threads.
 */
public final class LedgerCall {

    /** An outage of the platform lasts at least seconds; earlier retries would only add load. */
    private static final Duration OUTAGE_RETRY_DELAY = Duration.ofSeconds(1);

    /** Replaces the version after a commit, as the table service does not return the version that it created. */
    private static final long VERSION_UNKNOWN = -1;

    private static final int MAX_SEAL_TRIES = 3;
    private static final int STORE_TRIES_AFTER_REPLY = 100;
    private static final LedgerAction.Refuse NEVER_STARTED_REFUSAL = new LedgerAction.Refuse(
            ResultCode.NOT_RUN, ExecutionStatus.NO, Optional.empty(), "the request was given up before it started");

    private final RowKey key;
    private final String requestDigest;
    private final Sender self;
    private final LedgerPolicy policy;
    private final LedgerContext context;
    private final Instant waitDeadline;

    private Step step = Step.IDLE;
    /** The row that this call has written or taken over, or is about to write. */
    private LedgerRow row;
    /** The version of the stored row that the next commit expects. */
    private long version;
    /** The refusal that ends the call once the state of the attempt is written. */
    private LedgerAction.Refuse finalRefusal;

    private StoredAnswer answer;
    private int storeTriesLeft;
    private int sendTriesLeft;
    private int sealTriesLeft;
    private Instant sealRequestedAt;
    private boolean replied;
    private boolean resumed;
    /** Attempts that a commit of this call may have written into the row and that have not been sent. */
    private final Set<AttemptId> unsentAttempts = new HashSet<>();
    /** The last attempt that is known never to run. */
    private Optional<AttemptId> unstartedAttempt = Optional.empty();
    /** Whether an attempt of another call may have run. */
    private boolean otherMayHaveRun;

    private enum Step {
        IDLE,
        CLAIMING,
        VERIFYING_CLAIM,
        READING,
        WAITING,
        SENT,
        SEALING,
        RECORDING,
        VERIFYING_RECORD,
        RECORD_RETRY_WAIT,
        DONE
    }

    /**
     * Creates a call.
     *
     * @param key the key of the row, see {@link LedgerRowFormat#keyOf}, not null
     * @param requestDigest the digest, see {@link LedgerRowFormat#digestOf}, not null
     * @param self this entry, not null
     * @param policy the time limits and retry limits, not null
     * @param context the functions to query the environment, not null
     */
    public LedgerCall(RowKey key, String requestDigest, Sender self, LedgerPolicy policy, LedgerContext context) {
        this.key = Objects.requireNonNull(key, "key");
        this.requestDigest = Objects.requireNonNull(requestDigest, "requestDigest");
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.context = Objects.requireNonNull(context, "context");
        this.waitDeadline = context.clock().get().plus(policy.patience());
        this.sendTriesLeft = policy.sendTries();
        this.storeTriesLeft = policy.storeTries();
        this.sealTriesLeft = MAX_SEAL_TRIES;
    }

    /**
     * Starts the call.
     *
     * @return the next action, not null
     */
    public LedgerAction start() {
        Optional<Companion> companion = context.companionSelector().get();
        // Without a target a request that has already run still gets its answer.
        return companion.isPresent() ? claim(Transaction.ABSENT_VERSION, companion.get()) : readRow(Step.READING);
    }

    /** Writes a new attempt into the row if the row still has the given version. */
    private LedgerAction claim(long expectedVersion, Companion companion) {
        storeTriesLeft = policy.storeTries();
        sendTriesLeft--;
        version = expectedVersion;
        row = new LedgerRow(
                requestDigest,
                self,
                context.attemptIds().get(),
                companion,
                LedgerRow.State.RUNNING,
                context.clock().get().truncatedTo(ChronoUnit.MILLIS),
                Optional.empty());
        unsentAttempts.add(row.attempt());
        return commitClaim();
    }

    private LedgerAction commitClaim() {
        step = Step.CLAIMING;
        return commitRow();
    }

    private LedgerAction commitRow() {
        return new LedgerAction.Commit(
                Transaction.empty().withCondition(key, version).withWrite(key, LedgerRowFormat.write(row)));
    }

    /**
     * Handles a commit that took effect.
     *
     * @return the next action, not null
     */
    public LedgerAction onCommitted() {
        version = VERSION_UNKNOWN;
        return step == Step.CLAIMING ? send() : finishRecorded();
    }

    private LedgerAction send() {
        if (ageOf(row).compareTo(policy.sendLimit()) > 0) {
            // This process was frozen after the commit. Another call may have had the attempt sealed in the meantime,
            // and the companion may no longer retain the seal, so sending could cause a second run.
            unsentAttempts.remove(row.attempt());
            return handleNeverStarted(NEVER_STARTED_REFUSAL);
        }
        step = Step.SENT;
        resumed = false;
        unsentAttempts.remove(row.attempt());
        return new LedgerAction.Send(
                row.attempt(), row.companion(), row.created().plus(policy.sendLimit()));
    }

    private LedgerAction finishRecorded() {
        if (replied) {
            return finishSilently();
        }
        return answer == null ? finish(finalRefusal) : reply(answer, false, Optional.empty());
    }

    /**
     * Handles a commit with a condition that did not hold.
     *
     * @return the next action, not null
     */
    public LedgerAction onConflict() {
        if (step != Step.CLAIMING) {
            return readRow(Step.VERIFYING_RECORD);
        }
        otherMayHaveRun = true;
        return readRow(Step.VERIFYING_CLAIM);
    }

    /**
     * Handles the failure of a commit.
     *
     * @param mayTakeEffect whether the commit may have taken effect or may still do so
     * @return the next action, not null
     */
    public LedgerAction onCommitFailed(boolean mayTakeEffect) {
        storeTriesLeft--;
        if (step == Step.CLAIMING) {
            // The commit may have taken effect, or another call's commit may have preceded it. Sending without knowing
            // could run the request twice, so the row is read to find out.
            return mayTakeEffect ? readRow(Step.VERIFYING_CLAIM) : handleStoreUnavailable();
        }
        return retryRecord();
    }

    private LedgerAction readRow(Step next) {
        step = next;
        return new LedgerAction.Read(key);
    }

    /**
     * Handles a read that failed.
     *
     * @return the next action, not null
     */
    public LedgerAction onReadFailed() {
        storeTriesLeft--;
        if (step == Step.VERIFYING_RECORD) {
            return retryRecord();
        }
        return storeTriesLeft > 0 ? readRow(step) : handleStoreUnavailable();
    }

    private LedgerAction handleStoreUnavailable() {
        if (finalRefusal != null && !otherMayHaveRun) {
            return finish(finalRefusal);
        }
        return refuse(
                ResultCode.STORE_UNAVAILABLE,
                otherMayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO,
                Optional.of(OUTAGE_RETRY_DELAY),
                "the table service cannot be reached; this call has sent nothing, but an earlier one with its key may have"
                        + " run");
    }

    /**
     * Handles the result of a read.
     *
     * @param found the row, empty if there is none, not null
     * @return the next action, not null
     */
    public LedgerAction onRowRead(Optional<Row> found) {
        if (found.isEmpty()) {
            return handleAbsentRow();
        }
        try {
            LedgerRow stored = LedgerRowFormat.read(found.get().value());
            version = found.get().version();
            return step == Step.VERIFYING_RECORD ? resolveRecordCommit(stored) : handleStoredRow(stored);
        } catch (UnreadableRowException unreadable) {
            return refuse(ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, unreadable.getMessage());
        }
    }

    private LedgerAction handleAbsentRow() {
        if (step == Step.VERIFYING_RECORD) {
            return finishRecorded();
        }
        version = Transaction.ABSENT_VERSION;
        if (step == Step.VERIFYING_CLAIM && storeTriesLeft > 0) {
            // The commit has not taken effect but may still do so. The same attempt is written again: whichever commit
            // wins, the row holds the attempt of either this call or another call.
            return commitClaim();
        }
        otherMayHaveRun = false;
        return step == Step.VERIFYING_CLAIM ? handleStoreUnavailable() : claimNextAttempt();
    }

    private LedgerAction handleStoredRow(LedgerRow stored) {
        if (stored.state() == LedgerRow.State.RUNNING && unsentAttempts.contains(stored.attempt())) {
            row = stored;
            return send();
        }
        if (!stored.requestDigest().equals(requestDigest)) {
            return refuse(
                    ResultCode.IDEMPOTENCY_KEY_REUSED,
                    ExecutionStatus.NO,
                    "the idempotency key was used with another request");
        }
        if (isProvenUnstarted(stored)) {
            return claimNextAttempt();
        }
        otherMayHaveRun = stored.state() != LedgerRow.State.NOT_RUN;
        return switch (stored.state()) {
            case FINISHED -> reply(stored.answer().orElseThrow(), true, Optional.empty());
            case UNKNOWN -> refuseOutcomeUnknown("an earlier attempt's outcome cannot be found out");
            case NOT_RUN -> claimNextAttempt();
            case UNSETTLED -> seal(stored);
            case RUNNING -> isOrphaned(stored) ? seal(stored) : waitForSender();
        };
    }

    private boolean isProvenUnstarted(LedgerRow stored) {
        boolean undecided = stored.state() == LedgerRow.State.RUNNING || stored.state() == LedgerRow.State.UNSETTLED;
        return undecided && unstartedAttempt.equals(Optional.of(stored.attempt()));
    }

    /** Writes a new attempt after the row was found to hold no attempt that has run or may run. */
    private LedgerAction claimNextAttempt() {
        Optional<Companion> companion =
                sendTriesLeft > 0 ? context.companionSelector().get() : Optional.empty();
        if (companion.isPresent()) {
            return claim(version, companion.get());
        }
        if (row != null
                && unstartedAttempt.equals(Optional.of(row.attempt()))
                && version != Transaction.ABSENT_VERSION) {
            return record(LedgerRow.State.NOT_RUN, finalRefusal);
        }
        return finalRefusal != null
                ? finish(finalRefusal)
                : refuse(ResultCode.NO_TARGET, ExecutionStatus.NO, "no live target offers the operation");
    }

    private boolean isOrphaned(LedgerRow stored) {
        return !context.isSenderLive().test(stored.sender()) || ageOf(stored).compareTo(policy.takeoverAge()) > 0;
    }

    private Duration ageOf(LedgerRow stored) {
        return Duration.between(stored.created(), context.clock().get());
    }

    private LedgerAction waitForSender() {
        if (!context.clock().get().isBefore(waitDeadline)) {
            return refuseInProgress();
        }
        step = Step.WAITING;
        return new LedgerAction.Wait(policy.pollInterval());
    }

    private LedgerAction refuseInProgress() {
        return refuse(
                ResultCode.IN_PROGRESS,
                ExecutionStatus.UNKNOWN,
                Optional.of(policy.patience()),
                "a request with this idempotency key is running");
    }

    /**
     * Handles the end of a wait.
     *
     * @return the next action, not null
     */
    public LedgerAction onWaitFinished() {
        if (step == Step.RECORD_RETRY_WAIT) {
            return record();
        }
        storeTriesLeft = policy.storeTries();
        return readRow(Step.READING);
    }

    private LedgerAction seal(LedgerRow stored) {
        row = stored;
        if (sealTriesLeft <= 0) {
            return recordUnsettled("the attempt's answer breaks off again and again; ask again with the same key");
        }
        sealTriesLeft--;
        step = Step.SEALING;
        sealRequestedAt = context.clock().get();
        Duration age = ageOf(stored).plus(policy.clockError()).plus(policy.sealLimit());
        return new LedgerAction.Seal(stored.attempt(), stored.companion(), age);
    }

    /**
     * Handles the companion's answer to the request to seal the attempt.
     *
     * @param result the answer, not null
     * @return the next action, not null
     */
    public LedgerAction onSealResult(SealResult result) {
        boolean late = sealRequestedAt
                .plus(policy.sealLimit())
                .isBefore(context.clock().get());
        if (late && result == SealResult.NEVER_STARTED) {
            // This process was frozen in the meantime. The age in the request may have been outdated when the companion
            // evaluated it; the companion may have discarded its record of an attempt that has run and report that it
            // never started.
            return seal(row);
        }
        return switch (result) {
            case NEVER_STARTED -> handleNeverStarted(NEVER_STARTED_REFUSAL);
            case STARTED -> resume();
            case NOT_KNOWN -> recordUnknown("the companion has no memory of the attempt");
            case UNREACHABLE -> handleUnreachableCompanion();
        };
    }

    private LedgerAction resume() {
        step = Step.SENT;
        resumed = true;
        return new LedgerAction.Resume(row.attempt(), row.companion());
    }

    private LedgerAction handleUnreachableCompanion() {
        if (context.isCompanionGone().test(row.companion())) {
            return recordUnknown("the companion is gone");
        }
        return recordUnsettled("the companion cannot be reached; ask again with the same key");
    }

    private LedgerAction recordUnsettled(String message) {
        LedgerAction.Refuse refusal = new LedgerAction.Refuse(
                ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, Optional.of(policy.patience()), message);
        return record(LedgerRow.State.UNSETTLED, refusal);
    }

    /**
     * Handles the complete answer of the attempt.
     *
     * @param stored the stored answer, not null
     * @return the next action, not null
     */
    public LedgerAction onAnswered(StoredAnswer stored) {
        answer = stored;
        row = row.withAnswer(stored);
        storeTriesLeft = policy.storeTries();
        return record();
    }

    /**
     * Handles a refusal of the attempt by the companion.
     *
     * @param refusal the reason and whether the attempt ran, not null
     * @return the next action, not null
     */
    public LedgerAction onRefused(LedgerAction.Refuse refusal) {
        if (refusal.executionStatus() != ExecutionStatus.NO) {
            return recordUnknown(refusal.code() + ": " + refusal.message());
        }
        return resumed ? seal(row) : handleNeverStarted(refusal);
    }

    /**
     * Handles the loss of the companion, which is unreachable or has another incarnation.
     *
     * @param executionStatus NO only if no byte of the attempt was sent or the companion has sealed it, not null
     * @return the next action, not null
     */
    public LedgerAction onConnectionLost(ExecutionStatus executionStatus) {
        // An unsent resume says nothing about the attempt, which has been sent before.
        return executionStatus == ExecutionStatus.NO && !resumed
                ? handleNeverStarted(NEVER_STARTED_REFUSAL)
                : seal(row);
    }

    private LedgerAction handleNeverStarted(LedgerAction.Refuse refusal) {
        unstartedAttempt = Optional.of(row.attempt());
        finalRefusal = refusal;
        otherMayHaveRun = false;
        storeTriesLeft = policy.storeTries();
        return version == VERSION_UNKNOWN ? readRow(Step.READING) : claimNextAttempt();
    }

    private LedgerAction recordUnknown(String message) {
        LedgerAction.Refuse refusal =
                new LedgerAction.Refuse(ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, Optional.empty(), message);
        return record(LedgerRow.State.UNKNOWN, refusal);
    }

    private LedgerAction record(LedgerRow.State state, LedgerAction.Refuse refusal) {
        row = row.withState(state);
        finalRefusal = refusal;
        storeTriesLeft = policy.storeTries();
        return record();
    }

    private LedgerAction record() {
        if (version == VERSION_UNKNOWN) {
            return readRow(Step.VERIFYING_RECORD);
        }
        step = Step.RECORDING;
        return commitRow();
    }

    /** Decides after an uncertain or conflicting commit of the outcome whether to write the outcome again. */
    private LedgerAction resolveRecordCommit(LedgerRow stored) {
        if (stored.equals(row) || !stored.attempt().equals(row.attempt())) {
            return finishRecorded();
        }
        boolean hasNewAnswer = answer != null && stored.state() != LedgerRow.State.FINISHED;
        if (!hasNewAnswer && stored.state() != LedgerRow.State.RUNNING && stored.state() != LedgerRow.State.UNSETTLED) {
            return finishRecorded();
        }
        return record();
    }

    /**
     * Retries to write the outcome later or gives up; the caller's result stays true, and the next call asks the
     * companion.
     */
    private LedgerAction retryRecord() {
        if (storeTriesLeft <= 0) {
            return finishRecorded();
        }
        step = Step.RECORD_RETRY_WAIT;
        if (answer == null || replied) {
            return new LedgerAction.Wait(policy.pollInterval());
        }
        replied = true;
        storeTriesLeft = STORE_TRIES_AFTER_REPLY;
        return new LedgerAction.Reply(answer, false, Optional.of(policy.pollInterval()));
    }

    private LedgerAction reply(StoredAnswer stored, boolean replayed, Optional<Duration> storeAgainAfter) {
        step = Step.DONE;
        return new LedgerAction.Reply(stored, replayed, storeAgainAfter);
    }

    private LedgerAction refuseOutcomeUnknown(String message) {
        return refuse(ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, message);
    }

    private LedgerAction refuse(ResultCode code, ExecutionStatus executionStatus, String message) {
        return refuse(code, executionStatus, Optional.empty(), message);
    }

    private LedgerAction refuse(
            ResultCode code, ExecutionStatus executionStatus, Optional<Duration> retryAfter, String message) {
        return finish(new LedgerAction.Refuse(code, executionStatus, retryAfter, message));
    }

    private LedgerAction finish(LedgerAction.Refuse refusal) {
        step = Step.DONE;
        return refusal;
    }

    private LedgerAction finishSilently() {
        step = Step.DONE;
        return new LedgerAction.Done();
    }
}
