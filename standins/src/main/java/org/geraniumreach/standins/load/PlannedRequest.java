package org.geraniumreach.standins.load;

import java.net.URI;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.answer.ExpectedAnswer;

/**
 * One request that the load tool is to send.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number its number in the run
 * @param dueNanos when it is sent, from the start of the run
 * @param account who sends it
 * @param kind what it asks for
 * @param streamed whether a generation is streamed
 * @param adapter the adapter and version of a generation
 * @param text the prompt, or the booking's body
 * @param repeated whether a booking is sent again after its answer
 * @param idempotencyKey the booking's key, empty for a generation
 * @param entry where it goes
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

    /** What a request asks for. */
    enum Kind {
        COMPLETION,
        CHAT,
        BOOKING
    }

    boolean isBooking() {
        return kind == Kind.BOOKING;
    }

    /**
     * Gets the prompt as it reaches the engine: a chat's message with its role before it.
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
     * Gets what the request uses of its account's budget.
     *
     * @return the tokens of the prompt and those generated
     */
    double usedTokens() {
        return ExpectedAnswer.promptTokens(promptAtEngine()) + expected().length(account.maximumTokens());
    }

    /**
     * Gets what the request costs of its account's budget at most.
     *
     * @return the tokens of the prompt and the most generated
     */
    double reservedTokens() {
        return ExpectedAnswer.promptTokens(promptAtEngine()) + account.maximumTokens();
    }
}
