package org.geraniumreach.link;

/**
 * An attempt that an entry has sent.
 *
 * <p>Contract: safe for use by several threads; every call is harmless after the attempt's end.
 */
public interface AttemptHandle {

    /**
     * Lets more chunks come.
     *
     * @param chunks how many more, at least 1
     */
    void request(int chunks);

    /**
     * Gives the attempt up: the companion cancels it at its target.
     *
     * @param reason why, for the log, not null
     */
    void cancel(String reason);
}
