package org.geraniumreach.standins.load;

import java.net.URI;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.answer.ExpectedAnswer;

/**
 * A request that the load tool is scheduled to send.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the number of the request in the run
 * @param dueNanos when the request is due, in nanoseconds after the start of the run
 * @param account the client account that sends the request
 * @param kind the kind of request
 * @param streamed whether a generation is streamed
 * @param adapter the adapter and version of a generation, null for a booking
 * @param text the prompt, or the body of a booking
 * @param repeated whether a booking is repeated after its answer
 * @param idempotencyKey the idempotency key of a booking, empty for a generation
 * @param entry the address that the request is sent to
 */
record PlannedRequest(
        long number,
        long dueNanos,
        LoadSettings.AccountLoad account,
        Kind kind,
        boolean streamed,
        AdapterReference adapter,
        String text,
        boolean repeated,
        String idempotencyKey,
        URI entry) {

    /** The kind of a request. */
    enum Kind {
        COMPLETION,
        CHAT,
        BOOKING
    }

    boolean isBooking() {
        return kind == Kind.BOOKING;
    }

    /**
     * Returns the prompt as it reaches the engine, where a chat message is prefixed with its role.
     *
     * @return the prompt, not null
     */
    String promptAtEngine() {
        return kind == Kind.CHAT ? "user: " + text + "\n" : text;
    }

    ExpectedAnswer expected() {
        return ExpectedAnswer.of(adapter, promptAtEngine());
    }

    /**
     * Returns the number of tokens that the request uses of its account's budget.
     *
     * @return the prompt tokens and the generated tokens
     */
    double usedTokens() {
        return ExpectedAnswer.promptTokens(promptAtEngine()) + expected().length(account.maximumTokens());
    }

    /**
     * Returns the maximum number of tokens that the request may use of its account's budget.
     *
     * @return the prompt tokens and the maximum number of generated tokens
     */
    double reservedTokens() {
        return ExpectedAnswer.promptTokens(promptAtEngine()) + account.maximumTokens();
    }
}
