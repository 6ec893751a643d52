package org.geraniumreach.daemon.entry;

import org.geraniumreach.model.ServingException;

/**
 * Takes one answer on its way to the caller.
 *
 * <p>Contract: calls come one at a time; after {@link #finish} or {@link #fail} nothing is taken.
 */
interface AnswerSink {

    /**
     * Takes a part.
     *
     * @param text the part's text, not null
     * @param taken run once the sink can take another part, not null
     */
    void writePart(String text, Runnable taken);

    /**
     * Takes the end of a whole answer.
     *
     * @param usage the tokens used, not null
     * @param finishReason why it ended, not null
     */
    void finish(OpenAiResponseWriter.Usage usage, String finishReason);

    /**
     * Takes a failure.
     *
     * @param failure the failure, not null
     */
    void fail(ServingException failure);

    /**
     * Queries whether the caller has been sent any part, after which another try would repeat what it has.
     *
     * @return true if it has
     */
    boolean hasSentParts();

    /** Drops what was taken, for another try; only called before the caller has been sent any part. */
    void restart();

    /** Does what is due at an interval: keeps a silent stream alive, gives up a caller that takes nothing. */
    void onTick();
}
