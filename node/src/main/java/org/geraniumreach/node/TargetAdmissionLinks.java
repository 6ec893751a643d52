package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.pacing.OwnerAdmission;
import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.TargetAdmissionRequest;
import org.geraniumreach.messages.TargetAdmissionResponse;
import org.geraniumreach.model.TargetId;

/**
 * Sends admission requests for prompts to the owners of targets over the links, and answers those of other entries.
 *
 * <p>Confined to the event loop.
 */
final class TargetAdmissionLinks {

    private final OwnerAdmission admission;
    private final EntryLinks links;

    TargetAdmissionLinks(OwnerAdmission admission, EntryLinks links) {
        this.admission = Objects.requireNonNull(admission, "admission");
        this.links = Objects.requireNonNull(links, "links");
        links.onTargetAdmission(this::onRequest, this::onResponse);
    }

    /** Sends a request to an entry; returns whether it was sent. */
    boolean requestAdmission(String entry, long number, TargetId target, long promptTokens, Duration maxDelay) {
        TargetAdmissionRequest request = TargetAdmissionRequest.newBuilder()
                .setNumber(number)
                .setTarget(target.value())
                .setPromptTokens(promptTokens)
                .setLongestDelayNanos(maxDelay.toNanos())
                .build();
        return links.sendAdmission(
                entry, Frame.newBuilder().setTargetAdmissionRequest(request).build());
    }

    /** Answers the request of an entry at once. */
    void onRequest(String entry, TargetAdmissionRequest request) {
        Decision decision = admission.decideForPeer(
                TargetId.of(request.getTarget()),
                request.getPromptTokens(),
                Duration.ofNanos(request.getLongestDelayNanos()));
        TargetAdmissionResponse response = TargetAdmissionResponse.newBuilder()
                .setNumber(request.getNumber())
                .setAdmitted(decision.admitted())
                .setDelayNanos(decision.delay().toNanos())
                .build();
        links.sendAdmission(
                entry, Frame.newBuilder().setTargetAdmissionResponse(response).build());
    }

    private void onResponse(TargetAdmissionResponse response) {
        admission.onAnswer(response.getNumber(), toDecision(response));
    }

    static Decision toDecision(TargetAdmissionResponse response) {
        return response.getAdmitted()
                ? new Decision(true, Duration.ofNanos(Math.max(0, response.getDelayNanos())))
                : Decision.SATURATED;
    }
}
