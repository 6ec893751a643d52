package org.geraniumreach.coordination.ledger;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * The ledger's row for one idempotency key.
 *
 * <p>Invariants: an answer is present if and only if the state is FINISHED; only the sender whose commit wrote an
 * attempt into the row may send that attempt. Immutable and safe for use by several threads.
 *
 * @param requestDigest the digest of the request, which must match in later calls with the key
 * @param sender the entry that wrote the attempt
 * @param attempt the attempt
 * @param companion the companion that receives the attempt; no other incarnation of it may run the attempt
 * @param state the state of the attempt
 * @param created the time when the attempt was created
 * @param answer the answer of a finished attempt
 */
public record LedgerRow(
        String requestDigest,
        Sender sender,
        AttemptId attempt,
        Companion companion,
        State state,
        Instant created,
        Optional<StoredAnswer> answer) {

    public LedgerRow {
        Objects.requireNonNull(requestDigest, "requestDigest");
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(companion, "companion");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(created, "created");
        if (answer.isPresent() != (state == State.FINISHED)) {
            throw new IllegalArgumentException("answer " + answer + " in state " + state);
        }
    }

    /** The state of an attempt. */
    public enum State {
        /** The sender may send the attempt or has sent it. */
        RUNNING,
        /** The sender has abandoned the attempt without knowing whether it ran; the next call asks the companion. */
        UNSETTLED,
        /** The attempt has not run and never will; another one may replace it. */
        NOT_RUN,
        /** The attempt has run and its answer is stored. */
        FINISHED,
        /** Whether the attempt ran cannot be determined; no other attempt replaces it. */
        UNKNOWN
    }

    /**
     * Gets a copy in another state without an answer.
     *
     * @param newState the state, not FINISHED
     * @return the copy, not null
     */
    public LedgerRow withState(State newState) {
        return new LedgerRow(requestDigest, sender, attempt, companion, newState, created, Optional.empty());
    }

    /**
     * Gets a copy in state FINISHED.
     *
     * @param stored the answer, not null
     * @return the copy, not null
     */
    public LedgerRow withAnswer(StoredAnswer stored) {
        return new LedgerRow(requestDigest, sender, attempt, companion, State.FINISHED, created, Optional.of(stored));
    }
}
