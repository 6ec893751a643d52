package org.geraniumreach.gateway.admission;

import java.util.Objects;

/**
 * The final decision on a queued request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the request
 * @param decision {@link AdmissionDecision.Admitted} or {@link AdmissionDecision.Rejected}, not null
 */
public record Outcome(long id, AdmissionDecision decision) {

    public Outcome {
        Objects.requireNonNull(decision, "decision");
        if (decision instanceof AdmissionDecision.Queued) {
            throw new IllegalArgumentException("not a final decision on request " + id + ": " + decision);
        }
    }
}
