package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

/**
 * A stand-in that can be administered.
 *
 * <p>Implementations must be safe for use by several threads.
 */
public interface StandIn {

    /**
     * Returns the HTTP server of the stand-in.
     *
     * @return the server, not null
     */
    StandInServer server();

    /** Simulates a restart that discards all state in memory. */
    default void restart() {}

    /**
     * Handles an administration call that is specific to this stand-in.
     *
     * @param call the call, not null
     * @return a stage that completes with the answer, not null
     * @throws IOException if the call cannot be parsed
     */
    default CompletionStage<Answer> administer(Call call) throws IOException {
        return Answer.unknownPath(call).toCompletedStage();
    }
}
