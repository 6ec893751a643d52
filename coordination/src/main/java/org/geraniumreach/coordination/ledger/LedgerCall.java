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
 * Decides what one call with an idempotency key does.
 *
 * <p>Invariants: {@link LedgerAction.Send} is given at most once for an attempt, and only after the row was seen to hold
 * that attempt, put there by this call; an attempt takes the place of another one only after the other's companion has
 * said that it never started and never will; once a row is FINISHED or UNKNOWN no attempt takes its place. So all calls
 * with one key together run the request at most once. A refusal with {@link ExecutionStatus#NO} is given only while every attempt of
 * this call is unsent, sealed or refused by its companion as not run.
 *
 * <p>One event is answered by one action, and the next event is the answer to that action. Not safe for use by several
 * threads.
 */
public final class LedgerCall {

    /** The table service does not say which version a commit has made. */
    /** An outage of the platform lasts seconds at least; coming back sooner only adds to it. */
    private static final Duration OUTAGE_RETRY_DELAY = Duration.ofSeconds(1);

    private static final long VERSION_UNKNOWN = -1;

    private static final int MAX_SEAL_TRIES = 3;
    private static final int STORE_TRIES_AFTER_REPLY = 100;
    private static final LedgerAction.Refuse NEVER_STARTED_REFUSAL = new LedgerAction.Refuse(
            ResultCode.NOT_RUN, ExecutionStatus.NO, Optional.empty(), "the request was given up before it started");

    private final RowKey key;
    private final String requestDigest;
    private final Sender self;
    private final LedgerPolicy policy;
    private final LedgerView context;
    private final Instant waitDeadline;

    private Step step = Step.IDLE;
    /** The row that this call has put there or taken over, or is about to. */
    private LedgerRow row;
    /** The version of the stored row that the next commit expects. */
    private long version;
    /** What ends the call once the state of the attempt is written. */
    private LedgerAction.Refuse finalRefusal;

    private StoredAnswer answer;
    private int storeTriesLeft;
    private int sendTriesLeft;
    private int sealTriesLeft;
    private Instant sealRequestedAt;
    private boolean replied;
    private boolean resumed;
    /** Attempts that a commit of this call may have put into the row, and that were not sent. */
    private final Set<AttemptId> unsentAttempts = new HashSet<>();
    /** The last attempt that was shown never to run. */
    private Optional<AttemptId> unstartedAttempt = Optional.empty();
    /** Whether another call's attempt was seen that may have run. */
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
     * Makes a call.
     *
     * @param key the row, see {@link LedgerRowFormat#keyOf}, not null
     * @param requestDigest the digest, see {@link LedgerRowFormat#digestOf}, not null
     * @param self this entry, not null
     * @param policy times and numbers, not null
     * @param view the world around, not null
     */
    public LedgerCall(RowKey key, String requestDigest, Sender self, LedgerPolicy policy, LedgerView view) {
        this.key = Objects.requireNonNull(key, "key");
        this.requestDigest = Objects.requireNonNull(requestDigest, "requestDigest");
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.context = Objects.requireNonNull(view, "view");
        this.waitDeadline = view.clock().get().plus(policy.patience());
        this.sendTriesLeft = policy.sendTries();
        this.storeTriesLeft = policy.storeTries();
        this.sealTriesLeft = MAX_SEAL_TRIES;
    }

    /**
     * Begins the call.
     *
     * @return what to do, not null
     */
    public LedgerAction start() {
        Optional<Companion> companion = context.companionSelector().get();
        // Without a target a call that has run already still gets its answer.
        return companion.isPresent() ? claim(Transaction.ABSENT_VERSION, companion.get()) : readRow(Step.READING);
    }

    /** Puts a new attempt into the row, if the row has still the version given. */
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
     * Tells that the commit took effect.
     *
     * @return what to do, not null
     */
    public LedgerAction committed() {
        version = VERSION_UNKNOWN;
        return step == Step.CLAIMING ? send() : finishRecorded();
    }

    private LedgerAction send() {
        if (ageOf(row).compareTo(policy.sendLimit()) > 0) {
            // This process was frozen since the commit. Another call may have had the attempt sealed meanwhile, and the
            // companion may have forgotten the seal: what is sent now would be a second run.
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
     * Tells that a condition of the commit did not hold.
     *
     * @return what to do, not null
     */
    public LedgerAction conflicted() {
        if (step != Step.CLAIMING) {
            return readRow(Step.VERIFYING_RECORD);
        }
        otherMayHaveRun = true;
        return readRow(Step.VERIFYING_CLAIM);
    }

    /**
     * Tells that the commit had no answer.
     *
     * @param mayTakeEffect whether it may have taken effect, or may yet
     * @return what to do, not null
     */
    public LedgerAction commitFailed(boolean mayTakeEffect) {
        storeTriesLeft--;
        if (step == Step.CLAIMING) {
            // A commit whose answer was lost may have put the attempt there, or another call's commit may have come
            // first. To send on the strength of a lost answer would run the request twice; the row tells which it
            // was.
            return mayTakeEffect ? readRow(Step.VERIFYING_CLAIM) : handleStoreUnavailable();
        }
        return retryRecord();
    }

    private LedgerAction readRow(Step next) {
        step = next;
        return new LedgerAction.Read(key);
    }

    /**
     * Tells that the row could not be read.
     *
     * @return what to do, not null
     */
    public LedgerAction readFailed() {
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
     * Tells what the row holds.
     *
     * @param found the row, empty if there is none, not null
     * @return what to do, not null
     */
    public LedgerAction read(Optional<Row> found) {
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
            // The commit has not taken effect but may yet. The same attempt is put there again: whichever commit
            // wins, the row holds this call's attempt or another call's, and never both.
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
        boolean open = stored.state() == LedgerRow.State.RUNNING || stored.state() == LedgerRow.State.UNSETTLED;
        return open && unstartedAttempt.equals(Optional.of(stored.attempt()));
    }

    /** Puts a new attempt where the row holds none that has run or may run. */
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
     * Tells that the wait is over.
     *
     * @return what to do, not null
     */
    public LedgerAction waited() {
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
     * Tells what the companion says of the attempt.
     *
     * @param result the answer, not null
     * @return what to do, not null
     */
    public LedgerAction sealed(SealResult result) {
        boolean late = sealRequestedAt
                .plus(policy.sealLimit())
                .isBefore(context.clock().get());
        if (late && result == SealResult.NEVER_STARTED) {
            // This process was frozen on the way. The companion may have judged by an age that was no longer true, have
            // forgotten the attempt by then, and so taken one that has run for one that never came.
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
     * Tells that the attempt's answer has come whole.
     *
     * @param stored where the answer is, not null
     * @return what to do, not null
     */
    public LedgerAction answered(StoredAnswer stored) {
        answer = stored;
        row = row.withAnswer(stored);
        storeTriesLeft = policy.storeTries();
        return record();
    }

    /**
     * Tells that the companion gave the attempt up.
     *
     * @param refusal why, and whether it ran, not null
     * @return what to do, not null
     */
    public LedgerAction refused(LedgerAction.Refuse refusal) {
        if (refusal.ran() != ExecutionStatus.NO) {
            return recordUnknown(refusal.code() + ": " + refusal.message());
        }
        return resumed ? seal(row) : handleNeverStarted(refusal);
    }

    /**
     * Tells that the companion cannot be reached any more, or is another incarnation.
     *
     * @param ran NO only if no byte of the attempt was sent or the companion has sealed it, not null
     * @return what to do, not null
     */
    public LedgerAction lost(ExecutionStatus ran) {
        // That a resume was not sent says nothing of the attempt, which another call has sent.
        return ran == ExecutionStatus.NO && !resumed ? handleNeverStarted(NEVER_STARTED_REFUSAL) : seal(row);
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

    private LedgerAction record(LedgerRow.State state, LedgerAction.Refuse then) {
        row = row.withState(state);
        finalRefusal = then;
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

    /** Decides what a record's commit that found another version is to do. */
    private LedgerAction resolveRecordCommit(LedgerRow stored) {
        if (stored.equals(row) || !stored.attempt().equals(row.attempt())) {
            return finishRecorded();
        }
        boolean better = answer != null && stored.state() != LedgerRow.State.FINISHED;
        if (!better && stored.state() != LedgerRow.State.RUNNING && stored.state() != LedgerRow.State.UNSETTLED) {
            return finishRecorded();
        }
        return record();
    }

    /** Goes on without the store: what the caller is told stays true, and the next call asks the companion. */
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

    private LedgerAction refuse(ResultCode code, ExecutionStatus ran, String message) {
        return refuse(code, ran, Optional.empty(), message);
    }

    private LedgerAction refuse(ResultCode code, ExecutionStatus ran, Optional<Duration> retryAfter, String message) {
        return finish(new LedgerAction.Refuse(code, ran, retryAfter, message));
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
