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
    private static final Duration OUTAGE_RETRY = Duration.ofSeconds(1);

    private static final long NOT_READ = -1;

    private static final int SEAL_TRIES = 3;
    private static final int TRIES_AFTER_REPLY = 100;
    private static final LedgerAction.Refuse NEVER_STARTED = new LedgerAction.Refuse(
            ResultCode.NOT_RUN, ExecutionStatus.NO, Optional.empty(), "the request was given up before it started");

    private final RowKey key;
    private final String requestDigest;
    private final Sender self;
    private final LedgerPolicy policy;
    private final LedgerView view;
    private final Instant patienceEnd;

    private Step step = Step.IDLE;
    /** The row that this call has put there or taken over, or is about to. */
    private LedgerRow row;
    /** The version of the stored row that the next commit expects. */
    private long version;
    /** What ends the call once the state of the attempt is written. */
    private LedgerAction.Refuse verdict;

    private StoredAnswer answer;
    private int storeTriesLeft;
    private int sendTriesLeft;
    private int sealTriesLeft;
    private Instant sealAskedAt;
    private boolean replied;
    private boolean resumed;
    /** Attempts that a commit of this call may have put into the row, and that were not sent. */
    private final Set<AttemptId> unsent = new HashSet<>();
    /** The last attempt that was shown never to run. */
    private Optional<AttemptId> spent = Optional.empty();
    /** Whether another call's attempt was seen that may have run. */
    private boolean otherMayHaveRun;

    private enum Step {
        IDLE,
        CLAIMING,
        SETTLING_CLAIM,
        LOOKING,
        WAITING,
        SENT,
        SEALING,
        RECORDING,
        SETTLING_RECORD,
        PAUSED_RECORD,
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
        this.view = Objects.requireNonNull(view, "view");
        this.patienceEnd = view.now().get().plus(policy.patience());
        this.sendTriesLeft = policy.sendTries();
        this.storeTriesLeft = policy.storeTries();
        this.sealTriesLeft = SEAL_TRIES;
    }

    /**
     * Begins the call.
     *
     * @return what to do, not null
     */
    public LedgerAction start() {
        Optional<Companion> companion = view.chooser().get();
        // Without a target a call that has run already still gets its answer.
        return companion.isPresent() ? claim(Transaction.ABSENT_VERSION, companion.get()) : look(Step.LOOKING);
    }

    /** Puts a new attempt into the row, if the row has still the version given. */
    private LedgerAction claim(long expectedVersion, Companion companion) {
        storeTriesLeft = policy.storeTries();
        sendTriesLeft--;
        version = expectedVersion;
        row = new LedgerRow(
                requestDigest,
                self,
                view.newAttempt().get(),
                companion,
                LedgerRow.State.RUNNING,
                view.now().get().truncatedTo(ChronoUnit.MILLIS),
                Optional.empty());
        unsent.add(row.attempt());
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
        version = NOT_READ;
        return step == Step.CLAIMING ? send() : recorded();
    }

    private LedgerAction send() {
        if (ageOf(row).compareTo(policy.sendLimit()) > 0) {
            // This process was frozen since the commit. Another call may have had the attempt sealed meanwhile, and the
            // companion may have forgotten the seal: what is sent now would be a second run.
            unsent.remove(row.attempt());
            return neverStarted(NEVER_STARTED);
        }
        step = Step.SENT;
        resumed = false;
        unsent.remove(row.attempt());
        return new LedgerAction.Send(
                row.attempt(), row.companion(), row.created().plus(policy.sendLimit()));
    }

    private LedgerAction recorded() {
        if (replied) {
            return done();
        }
        return answer == null ? finish(verdict) : reply(answer, false, Optional.empty());
    }

    /**
     * Tells that a condition of the commit did not hold.
     *
     * @return what to do, not null
     */
    public LedgerAction conflicted() {
        if (step != Step.CLAIMING) {
            return look(Step.SETTLING_RECORD);
        }
        otherMayHaveRun = true;
        return look(Step.SETTLING_CLAIM);
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
            return mayTakeEffect ? look(Step.SETTLING_CLAIM) : storeUnavailable();
        }
        return recordLater();
    }

    private LedgerAction look(Step next) {
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
        if (step == Step.SETTLING_RECORD) {
            return recordLater();
        }
        return storeTriesLeft > 0 ? look(step) : storeUnavailable();
    }

    private LedgerAction storeUnavailable() {
        if (verdict != null && !otherMayHaveRun) {
            return finish(verdict);
        }
        return refuse(
                ResultCode.STORE_UNAVAILABLE,
                otherMayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO,
                Optional.of(OUTAGE_RETRY),
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
            return readAbsent();
        }
        try {
            LedgerRow stored = LedgerRowFormat.read(found.get().value());
            version = found.get().version();
            return step == Step.SETTLING_RECORD ? settleRecord(stored) : decide(stored);
        } catch (UnreadableRowException unreadable) {
            return refuse(ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, unreadable.getMessage());
        }
    }

    private LedgerAction readAbsent() {
        if (step == Step.SETTLING_RECORD) {
            return recorded();
        }
        version = Transaction.ABSENT_VERSION;
        if (step == Step.SETTLING_CLAIM && storeTriesLeft > 0) {
            // The commit has not taken effect but may yet. The same attempt is put there again: whichever commit
            // wins, the row holds this call's attempt or another call's, and never both.
            return commitClaim();
        }
        otherMayHaveRun = false;
        return step == Step.SETTLING_CLAIM ? storeUnavailable() : claimAgain();
    }

    private LedgerAction decide(LedgerRow stored) {
        if (stored.state() == LedgerRow.State.RUNNING && unsent.contains(stored.attempt())) {
            row = stored;
            return send();
        }
        if (!stored.requestDigest().equals(requestDigest)) {
            return refuse(
                    ResultCode.IDEMPOTENCY_KEY_REUSED,
                    ExecutionStatus.NO,
                    "the idempotency key was used with another request");
        }
        if (isSpent(stored)) {
            return claimAgain();
        }
        otherMayHaveRun = stored.state() != LedgerRow.State.NOT_RUN;
        return switch (stored.state()) {
            case FINISHED -> reply(stored.answer().orElseThrow(), true, Optional.empty());
            case UNKNOWN -> outcomeUnknown("an earlier attempt's outcome cannot be found out");
            case NOT_RUN -> claimAgain();
            case UNSETTLED -> seal(stored);
            case RUNNING -> isOrphaned(stored) ? seal(stored) : waitForSender();
        };
    }

    private boolean isSpent(LedgerRow stored) {
        boolean open = stored.state() == LedgerRow.State.RUNNING || stored.state() == LedgerRow.State.UNSETTLED;
        return open && spent.equals(Optional.of(stored.attempt()));
    }

    /** Puts a new attempt where the row holds none that has run or may run. */
    private LedgerAction claimAgain() {
        Optional<Companion> companion = sendTriesLeft > 0 ? view.chooser().get() : Optional.empty();
        if (companion.isPresent()) {
            return claim(version, companion.get());
        }
        if (row != null && spent.equals(Optional.of(row.attempt())) && version != Transaction.ABSENT_VERSION) {
            return record(LedgerRow.State.NOT_RUN, verdict);
        }
        return verdict != null
                ? finish(verdict)
                : refuse(ResultCode.NO_TARGET, ExecutionStatus.NO, "no live target offers the operation");
    }

    private boolean isOrphaned(LedgerRow stored) {
        return !view.liveSender().test(stored.sender()) || ageOf(stored).compareTo(policy.takeoverAge()) > 0;
    }

    private Duration ageOf(LedgerRow stored) {
        return Duration.between(stored.created(), view.now().get());
    }

    private LedgerAction waitForSender() {
        if (!view.now().get().isBefore(patienceEnd)) {
            return inProgress();
        }
        step = Step.WAITING;
        return new LedgerAction.Wait(policy.pollInterval());
    }

    private LedgerAction inProgress() {
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
        if (step == Step.PAUSED_RECORD) {
            return record();
        }
        storeTriesLeft = policy.storeTries();
        return look(Step.LOOKING);
    }

    private LedgerAction seal(LedgerRow stored) {
        row = stored;
        if (sealTriesLeft <= 0) {
            return unsettled("the attempt's answer breaks off again and again; ask again with the same key");
        }
        sealTriesLeft--;
        step = Step.SEALING;
        sealAskedAt = view.now().get();
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
        boolean late = sealAskedAt.plus(policy.sealLimit()).isBefore(view.now().get());
        if (late && result == SealResult.NEVER_STARTED) {
            // This process was frozen on the way. The companion may have judged by an age that was no longer true, have
            // forgotten the attempt by then, and so taken one that has run for one that never came.
            return seal(row);
        }
        return switch (result) {
            case NEVER_STARTED -> neverStarted(NEVER_STARTED);
            case STARTED -> resume();
            case NOT_KNOWN -> recordUnknown("the companion has no memory of the attempt");
            case UNREACHABLE -> sealUnanswered();
        };
    }

    private LedgerAction resume() {
        step = Step.SENT;
        resumed = true;
        return new LedgerAction.Resume(row.attempt(), row.companion());
    }

    private LedgerAction sealUnanswered() {
        if (view.goneCompanion().test(row.companion())) {
            return recordUnknown("the companion is gone");
        }
        return unsettled("the companion cannot be reached; ask again with the same key");
    }

    private LedgerAction unsettled(String message) {
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
        return resumed ? seal(row) : neverStarted(refusal);
    }

    /**
     * Tells that the companion cannot be reached any more, or is another incarnation.
     *
     * @param ran NO only if no byte of the attempt was sent or the companion has sealed it, not null
     * @return what to do, not null
     */
    public LedgerAction lost(ExecutionStatus ran) {
        // That a resume was not sent says nothing of the attempt, which another call has sent.
        return ran == ExecutionStatus.NO && !resumed ? neverStarted(NEVER_STARTED) : seal(row);
    }

    private LedgerAction neverStarted(LedgerAction.Refuse refusal) {
        spent = Optional.of(row.attempt());
        verdict = refusal;
        otherMayHaveRun = false;
        storeTriesLeft = policy.storeTries();
        return version == NOT_READ ? look(Step.LOOKING) : claimAgain();
    }

    private LedgerAction recordUnknown(String message) {
        LedgerAction.Refuse refusal =
                new LedgerAction.Refuse(ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, Optional.empty(), message);
        return record(LedgerRow.State.UNKNOWN, refusal);
    }

    private LedgerAction record(LedgerRow.State state, LedgerAction.Refuse then) {
        row = row.withState(state);
        verdict = then;
        storeTriesLeft = policy.storeTries();
        return record();
    }

    private LedgerAction record() {
        if (version == NOT_READ) {
            return look(Step.SETTLING_RECORD);
        }
        step = Step.RECORDING;
        return commitRow();
    }

    /** Decides what a record's commit that found another version is to do. */
    private LedgerAction settleRecord(LedgerRow stored) {
        if (stored.equals(row) || !stored.attempt().equals(row.attempt())) {
            return recorded();
        }
        boolean better = answer != null && stored.state() != LedgerRow.State.FINISHED;
        if (!better && stored.state() != LedgerRow.State.RUNNING && stored.state() != LedgerRow.State.UNSETTLED) {
            return recorded();
        }
        return record();
    }

    /** Goes on without the store: what the caller is told stays true, and the next call asks the companion. */
    private LedgerAction recordLater() {
        if (storeTriesLeft <= 0) {
            return recorded();
        }
        step = Step.PAUSED_RECORD;
        if (answer == null || replied) {
            return new LedgerAction.Wait(policy.pollInterval());
        }
        replied = true;
        storeTriesLeft = TRIES_AFTER_REPLY;
        return new LedgerAction.Reply(answer, false, Optional.of(policy.pollInterval()));
    }

    private LedgerAction reply(StoredAnswer stored, boolean replayed, Optional<Duration> storeAgainAfter) {
        step = Step.DONE;
        return new LedgerAction.Reply(stored, replayed, storeAgainAfter);
    }

    private LedgerAction outcomeUnknown(String message) {
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

    private LedgerAction done() {
        step = Step.DONE;
        return new LedgerAction.Done();
    }
}
