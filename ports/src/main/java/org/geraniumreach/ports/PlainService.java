package org.geraniumreach.ports;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;

/**
 * The interface of a companion to a plain service's worker.
 *
 * <p>Contract: a call blocks for at most its timeout; implementations are safe for use by several threads. No call
 * carries a caller's key.
 */
@FunctionalInterface
public interface PlainService {

    /**
     * Calls an operation.
     *
     * @param attempt the attempt, not null
     * @param account the client account that the call belongs to, not null
     * @param operation the operation, not null
     * @param body the request's body, not null
     * @return the answer's body, not null
     * @throws PlatformException if the call failed or got no answer; its effect tells whether the operation may have
     *     run
     */
    byte[] call(AttemptId attempt, AccountId account, String operation, byte[] body) throws PlatformException;
}
