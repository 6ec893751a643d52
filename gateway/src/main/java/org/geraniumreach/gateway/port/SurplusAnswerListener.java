package org.geraniumreach.gateway.port;

/**
 * Receives answers of targets that came where none or another one was expected.
 *
 * <p>Called on the event loop.
 */
@FunctionalInterface
public interface SurplusAnswerListener {

    /**
     * Called when the head of such an answer has come.
     *
     * @param answer the answer, not null
     */
    void onSurplusAnswer(SurplusAnswer answer);
}
