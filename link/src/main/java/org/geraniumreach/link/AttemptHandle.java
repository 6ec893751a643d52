package org.geraniumreach.link;

/**
 * Controls an attempt that an entry has sent.
 *
 * <p>Contract: safe for use by several threads; calls after the attempt's end have no effect.
 */
public interface AttemptHandle {

    /**
     * Grants credit for more chunks.
     *
     * @param chunks the number of additional chunks, at least 1
     */
    void request(int chunks);

    /**
     * Cancels the attempt: the companion cancels it at its target.
     *
     * @param reason why it is cancelled, for the log, not null
     */
    void cancel(String reason);
}
