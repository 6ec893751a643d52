package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

/** Answers the calls to a stand-in; called by several threads. */
@FunctionalInterface
public interface CallHandler {

    /**
     * Answers a call.
     *
     * @param call the call, not null
     * @param faults the faults that strike it, not null
     * @return the answer, now or later, not null
     * @throws IOException if the call cannot be read
     */
    CompletionStage<Answer> handle(Call call, Faults faults) throws IOException;
}
