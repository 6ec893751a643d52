package org.geraniumreach.gateway.speed;

import org.geraniumreach.gateway.placement.Target;

/**
 * Receives the prefill times of prompts that were sent to a target while this entry had no other pending there.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface PrefillObserver {

    /**
     * Called when the first part of an answer has arrived.
     *
     * @param target the target, not null
     * @param sample the prefill time, not null
     */
    void onPrefill(Target target, PrefillSample sample);

    /**
     * Obtains an observer that ignores all prompts.
     *
     * @return the observer, not null
     */
    static PrefillObserver none() {
        return (target, sample) -> {};
    }
}
