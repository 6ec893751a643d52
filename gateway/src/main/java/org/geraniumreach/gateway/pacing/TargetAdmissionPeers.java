package org.geraniumreach.gateway.pacing;

import java.time.Duration;

import org.geraniumreach.model.TargetId;

/**
 * Sends admission requests to the entries that own targets.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface TargetAdmissionPeers {

    /**
     * Requests the admission of a prompt. The answer, if any, is passed to {@link OwnerAdmission#onAnswer}.
     *
     * @param entry the entry that owns the target, not null
     * @param number the number of the request, unique at this entry
     * @param target the target, not null
     * @param promptTokens the number of tokens of the prompt
     * @param maxDelay the longest time that the prompt may be delayed, not null
     * @return false if the entry cannot be reached
     */
    boolean requestAdmission(String entry, long number, TargetId target, long promptTokens, Duration maxDelay);
}
