package org.geraniumreach.coordination.ledger;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AttemptId;

/**
 * What the ledger's row for one idempotency key says.
 *
 * <p>Invariants: an answer is there if and only if the state is FINISHED; only the sender whose commit put an attempt into
 * the row may send that attempt. Immutable and safe for use by several threads.
 *
 * @param requestDigest the digest of the request, which a later call with the key must share
 * @param sender the entry that put the attempt here
 * @param attempt the attempt
 * @param companion where the attempt goes; no other start of the companion may run it
 * @param state how far the attempt has come
 * @param created when the attempt was put here
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

    /** How far an attempt has come. */
    public enum State {
        /** Its sender may send it, or has. */
        RUNNING,
        /** Its sender has given it up without knowing whether it ran; the next call asks the companion. */
        UNSETTLED,
        /** It has not run and never will; another may take its place. */
        NOT_RUN,
        /** It has run, and its answer is kept. */
        FINISHED,
        /** Whether it ran cannot be found out any more; nothing takes its place. */
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
     * Gets a copy that is finished.
     *
     * @param stored the answer, not null
     * @return the copy, not null
     */
    public LedgerRow withAnswer(StoredAnswer stored) {
        return new LedgerRow(requestDigest, sender, attempt, companion, State.FINISHED, created, Optional.of(stored));
    }
}
