package org.geraniumreach.daemon.http;

import org.geraniumreach.model.ServingException;

/**
 * Answers the calls of one route.
 *
 * <p>Contract: the call is answered exactly once, before or after the method returns; an exception is the answer. Several
 * threads use one endpoint.
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
