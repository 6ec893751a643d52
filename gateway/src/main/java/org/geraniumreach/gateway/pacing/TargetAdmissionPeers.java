package org.geraniumreach.gateway.pacing;

import java.time.Duration;

import org.geraniumreach.model.TargetId;

/**
 * Reaches the entries that own targets.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface TargetAdmissionPeers {

    /**
     * Asks for a prompt's turn. The answer comes to {@link OwnerAdmission#onAnswer}, or never.
     *
     * @param entry the entry to be asked, not null
     * @param number tells the requests of this entry apart
     * @param target the target, not null
     * @param promptTokens the prompt's tokens
     * @param longestDelay the longest time that it may be held back, not null
     * @return false if the entry cannot be reached
     */
    boolean requestAdmission(String entry, long number, TargetId target, long promptTokens, Duration longestDelay);
}
