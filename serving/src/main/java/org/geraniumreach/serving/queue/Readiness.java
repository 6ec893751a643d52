package org.geraniumreach.serving.queue;

import org.geraniumreach.model.AdapterReference;

/**
 * Tells which adapters a request can run on at once.
 *
 * <p>Contract: called under the queue's lock, so it must not call the queue and must be fast.
 */
@FunctionalInterface
public interface Readiness {

    /**
     * Queries whether a request on an adapter can run at once.
     *
     * @param adapter the adapter, not null
     * @return true if it can
     */
    boolean isReady(AdapterReference adapter);
}
