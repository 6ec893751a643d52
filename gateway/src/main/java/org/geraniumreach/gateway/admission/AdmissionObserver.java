package org.geraniumreach.gateway.admission;

/**
 * Observes the decisions of this entry as the owner of targets.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface AdmissionObserver {

    /**
     * Called after each decision.
     *
     * @param urgency the urgency of the request
     * @param result the result, not null
     */
    void onDecision(int urgency, AdmissionResult result);
}
