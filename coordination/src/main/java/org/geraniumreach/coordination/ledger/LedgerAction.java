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
 * What a {@link LedgerCall} wants done next; each is answered by one event.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface LedgerAction {

    /**
     * Commit a transaction; answered by {@code committed}, {@code conflicted} or {@code commitFailed}.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements LedgerAction {}

    /**
     * Read the row; answered by {@code read} or {@code readFailed}.
     *
     * @param key the row
     */
    record Read(RowKey key) implements LedgerAction {}

    /**
     * Wait; answered by {@code waited}.
     *
     * @param delay how long
     */
    record Wait(Duration delay) implements LedgerAction {}

    /**
     * Send the request; answered by {@code answered}, {@code refused} or {@code lost}.
     *
     * @param attempt the attempt
     * @param companion the only start of a companion that may run it
     * @param notAfter the time of day after which the companion must refuse it as not run: the sender may be frozen on the
     *     way for so long that the companion has forgotten that the attempt was sealed
     */
    record Send(AttemptId attempt, Companion companion, Instant notAfter) implements LedgerAction {}

    /**
     * Ask that the attempt never start if it has not; answered by {@code sealed}.
     *
     * @param attempt the attempt
     * @param companion where it was sent
     * @param age the time since it may have been sent, at most; a companion that has forgotten attempts as old must not
     *     say that it never started
     */
    record Seal(AttemptId attempt, Companion companion, Duration age) implements LedgerAction {}

    /**
     * Get the answer of an attempt that has started; answered like {@link Send}.
     *
     * @param attempt the attempt
     * @param companion where it runs or has run
     */
    record Resume(AttemptId attempt, Companion companion) implements LedgerAction {}

    /**
     * Give the answer to the caller.
     *
     * @param answer the answer
     * @param replayed whether an earlier call got it already
     * @param storeAgainAfter when to call {@code waited} so that the answer is stored after all, else the call is done
     */
    record Reply(StoredAnswer answer, boolean replayed, Optional<Duration> storeAgainAfter) implements LedgerAction {}

    /**
     * Refuse the call; it is done.
     *
     * @param code the result
     * @param ran whether the request ran; NO means that this call started no run and never will
     * @param retryAfter when to come back, if that would help
     * @param message what happened
     */
    record Refuse(ResultCode code, ExecutionStatus ran, Optional<Duration> retryAfter, String message)
            implements LedgerAction {}

    /** Nothing more; the call is done. */
    record Done() implements LedgerAction {}
}
