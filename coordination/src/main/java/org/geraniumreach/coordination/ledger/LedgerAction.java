package org.geraniumreach.coordination.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The next action that a {@link LedgerCall} asks its caller to carry out; each is answered by one event.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface LedgerAction {

    /**
     * Commits a transaction; answered by {@link LedgerCall#onCommitted}, {@link LedgerCall#onConflict} or {@link
     * LedgerCall#onCommitFailed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements LedgerAction {}

    /**
     * Reads the row; answered by {@link LedgerCall#onRowRead} or {@link LedgerCall#onReadFailed}.
     *
     * @param key the key of the row
     */
    record Read(RowKey key) implements LedgerAction {}

    /**
     * Waits; answered by {@link LedgerCall#onWaitFinished}.
     *
     * @param delay the time to wait
     */
    record Wait(Duration delay) implements LedgerAction {}

    /**
     * Sends the request; answered by {@link LedgerCall#onAnswered}, {@link LedgerCall#onRefused} or {@link
     * LedgerCall#onConnectionLost}.
     *
     * @param attempt the attempt
     * @param companion the only companion incarnation that may run it
     * @param notAfter the time of day after which the companion must refuse it as not run: the sender may be frozen
     *     before sending for so long that the companion no longer retains a seal of the attempt
     */
    record Send(AttemptId attempt, Companion companion, Instant notAfter) implements LedgerAction {}

    /**
     * Asks the companion to prevent the attempt from starting if it has not started; answered by {@link
     * LedgerCall#onSealResult}.
     *
     * @param attempt the attempt
     * @param companion the companion to which it was sent
     * @param age the maximum time since it may have been sent; a companion that no longer retains attempts of this age
     *     must not report that it never started
     */
    record Seal(AttemptId attempt, Companion companion, Duration age) implements LedgerAction {}

    /**
     * Fetches the answer of an attempt that has started; answered like {@link Send}.
     *
     * @param attempt the attempt
     * @param companion the companion on which it runs or has run
     */
    record Resume(AttemptId attempt, Companion companion) implements LedgerAction {}

    /**
     * Returns the answer to the caller.
     *
     * @param answer the answer
     * @param replayed whether the answer is that of an earlier call
     * @param storeAgainAfter the delay after which to call {@link LedgerCall#onWaitFinished}, which retries to store the
     *     answer; empty if the call is finished
     */
    record Reply(StoredAnswer answer, boolean replayed, Optional<Duration> storeAgainAfter) implements LedgerAction {}

    /**
     * Refuses the call, which is then finished.
     *
     * @param code the result code
     * @param executionStatus whether the request ran; NO means that this call started no run and never will
     * @param retryAfter the delay before a retry, if a retry may succeed
     * @param message the reason
     */
    record Refuse(ResultCode code, ExecutionStatus executionStatus, Optional<Duration> retryAfter, String message)
            implements LedgerAction {}

    /** Ends the call without further action. */
    record Done() implements LedgerAction {}
}
