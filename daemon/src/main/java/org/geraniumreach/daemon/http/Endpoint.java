package org.geraniumreach.daemon.http;

import org.geraniumreach.model.ServingException;

/**
 * Answers the calls of one route.
 *
 * <p>Contract: each call is answered exactly once, before or after the method returns; a thrown exception is sent as
 * the answer. Implementations must be safe for use by several threads.
 */
@FunctionalInterface
public interface Endpoint {

    /**
     * Answers a call.
     *
     * @param call the call, not null
     * @throws ServingException to answer with an error
     */
    void handle(Call call) throws ServingException;
}
