package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

/**
 * What an operator of the test bench can do with one stand-in.
 *
 * <p>Contract: safe for use by several threads.
 */
public interface StandIn {

    /**
     * Gets the stand-in's port.
     *
     * @return the server, not null
     */
    StandInServer server();

    /** Restarts the stand-in without what it held in memory. */
    default void restart() {}

    /**
     * Answers a call of administration that only this stand-in knows.
     *
     * @param call the call, not null
     * @return the answer, not null
     * @throws IOException if the call cannot be read
     */
    default CompletionStage<Answer> administer(Call call) throws IOException {
        return Answer.unknownPath(call).toCompletedStage();
    }
}
