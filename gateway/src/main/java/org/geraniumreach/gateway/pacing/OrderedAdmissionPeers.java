package org.geraniumreach.gateway.pacing;

import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.model.TargetId;

/**
 * Sends requests for ordered admission to the entries that own targets.
 *
 * <p>Confined to the event loop.
 */
public interface OrderedAdmissionPeers {

    /**
     * Requests the admission of a prompt. The answers, if any, are passed to {@link OrderedAdmission#onResponse}, or to {@link
     * OrderedAdmission#onUnorderedAnswer} if the entry orders no requests.
     *
     * @param entry the entry that owns the target, not null
     * @param number the number of the request, unique at this entry
     * @param target the target, not null
     * @param requestId the id of the caller's request, not null
     * @param request what the order depends on, not null
     * @return false if the entry cannot be reached
     */
    boolean requestAdmission(String entry, long number, TargetId target, String requestId, AdmissionRequest request);

    /**
     * Reports the end of a request, whether it was admitted or still waits.
     *
     * @param entry the entry that the request was sent to, not null
     * @param number the number of the request
     * @param target the target, not null
     */
    void endAdmission(String entry, long number, TargetId target);
}
