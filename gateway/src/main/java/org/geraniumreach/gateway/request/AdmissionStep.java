package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.model.ResultCode;

/**
 * Waits for a prompt's turn at a target.
 *
 * <p>Confined to the event loop.
 */
interface AdmissionStep {

    /**
     * Runs the step.
     *
     * @param send the selected target
     * @param results receives the result, once
     */
    void run(PlacementDecision.Send send, Results results);

    /** Ends the wait and what was admitted, unless it was handed over. */
    default void end() {}

    /** Hands over what was admitted to the attempt that is sent under it, and with which it ends. */
    default HeldAdmission handOver() {
        return new HeldAdmission();
    }

    /** Receives the result of the step. */
    interface Results {

        /** Called when the prompt may be sent to the target. */
        void onAdmitted();

        /** Called if the request is to be placed again. */
        void onPlaceAgain();

        /**
         * Called if the request is to be refused.
         *
         * @param code the result code
         * @param reason the reason for the log and the caller
         * @param retryAfter the time after which the caller may retry
         */
        void onRejected(ResultCode code, String reason, Duration retryAfter);
    }
}
