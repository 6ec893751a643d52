package org.geraniumreach.daemon.entry;

import org.geraniumreach.model.ServingException;

/**
 * Writes one answer to its caller.
 *
 * <p>Contract: methods are called one at a time; none is called after {@link #finish} or {@link #fail}.
 */
interface AnswerSink {

    /**
     * Writes a part of the answer.
     *
     * @param text the text of the part, not null
     * @param onReady run once the sink can accept another part, not null
     */
    void writePart(String text, Runnable onReady);

    /**
     * Completes the answer.
     *
     * @param usage the tokens used, not null
     * @param finishReason why the generation ended, not null
     */
    void finish(OpenAiResponseWriter.Usage usage, String finishReason);

    /**
     * Ends the answer with an error.
     *
     * @param failure the error, not null
     */
    void fail(ServingException failure);

    /**
     * Queries whether any part has been sent to the caller. If so, a retry would repeat text that the caller has
     * received.
     *
     * @return true if a part has been sent
     */
    boolean hasSentParts();

    /** Discards the buffered parts before a retry; only called before any part has been sent to the caller. */
    void restart();

    /** Runs periodic work: sends keep-alive comments on an idle stream and cancels the call of a stalled caller. */
    void onTick();
}
