package org.geraniumreach.gateway.admission;

import java.util.Objects;

/**
 * The answer of a target's owner to a request for admission.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param decision the decision; after {@link AdmissionDecision.Queued} others follow
 * @param lessUrgentWait whether requests wait at the target that are less urgent than this one; known for rejections only
 */
public record AdmissionResponse(AdmissionDecision decision, boolean lessUrgentWait) {

    public AdmissionResponse {
        Objects.requireNonNull(decision, "decision");
    }
}
