package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

/** Handles calls to a stand-in. Implementations must be safe for use by several threads. */
@FunctionalInterface
public interface CallHandler {

    /**
     * Handles a call.
     *
     * @param call the call, not null
     * @param faults the faults to inject into this call, not null
     * @return a stage that completes with the answer, not null
     * @throws IOException if the call cannot be parsed
     */
    CompletionStage<Answer> handle(Call call, Faults faults) throws IOException;
}
