package org.geraniumreach.ports;

import java.util.List;

/**
 * The platform's list of instances, which lags behind the actual state.
 *
 * <p>Contract: calls block for at most their timeout; implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return the instances listed, not null
     * @throws PlatformException if the call failed or got no answer
     */
    List<ListedInstance> read() throws PlatformException;
}
