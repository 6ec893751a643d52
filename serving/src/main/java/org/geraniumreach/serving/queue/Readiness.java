package org.geraniumreach.serving.queue;

import org.geraniumreach.model.AdapterReference;

/**
 * Tells which adapters are ready for requests to run.
 *
 * <p>Contract: called under the queue's lock, so it must be fast and must not call the queue.
 */
@FunctionalInterface
public interface Readiness {

    /**
     * Returns whether a request for an adapter can run immediately.
     *
     * @param adapter the adapter, not null
     * @return true if it can run
     */
    boolean isReady(AdapterReference adapter);
}
