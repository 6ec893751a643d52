package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.admission.AdmissionDecision;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.admission.AdmissionResponse;
import org.geraniumreach.gateway.admission.RequestKey;
import org.geraniumreach.gateway.admission.TargetQueues;
import org.geraniumreach.gateway.pacing.OrderedAdmission;
import org.geraniumreach.gateway.pacing.OrderedAdmissionPeers;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.TargetAdmissionEnd;
import org.geraniumreach.messages.TargetAdmissionRequest;
import org.geraniumreach.messages.TargetAdmissionResponse;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.TargetId;

/**
 * Exchanges requests for ordered admission with the other entries.
 *
 * <p>Entries of earlier versions, and those whose deployment does not ask for the order, send and answer requests without it. Such
 * requests are left to {@link TargetAdmissionLinks}. Confined to the event loop.
 */
final class OrderedAdmissionLinks implements OrderedAdmissionPeers {

    /** No request waits longer, whatever a message says. */
    private static final long MAXIMUM_DELAY_NANOS = Duration.ofMinutes(1).toNanos();

    private final OrderedAdmission admission;
    private final TargetQueues queues;
    private final TargetAdmissionLinks unordered;
    private final EntryLinks links;

    OrderedAdmissionLinks(
            OrderedAdmission admission, TargetQueues queues, TargetAdmissionLinks unordered, EntryLinks links) {
        this.admission = Objects.requireNonNull(admission, "admission");
        this.queues = Objects.requireNonNull(queues, "queues");
        this.unordered = Objects.requireNonNull(unordered, "unordered");
        this.links = Objects.requireNonNull(links, "links");
        links.onTargetAdmission(this::onRequest, response -> {});
        links.onOrderedAdmission(
                new EntryLinks.OrderedAdmissionHandler(this::onResponse, this::onEnd, this::onLinkClosed));
    }

    @Override
    public boolean requestAdmission(
            String entry, long number, TargetId target, String requestId, AdmissionRequest request) {
        if (!links.ordersAdmissions(entry)) {
            return unordered.requestAdmission(entry, number, target, request.promptTokens(), request.maximumDelay());
        }
        TargetAdmissionRequest message = TargetAdmissionRequest.newBuilder()
                .setNumber(number)
                .setTarget(target.value())
                .setRequest(requestId)
                .setPromptTokens(request.promptTokens())
                .setLongestDelayNanos(request.maximumDelay().toNanos())
                .setUrgency(request.urgency())
                .setAccount(request.account().map(AccountId::value).orElse(""))
                .setAccountWeight(request.accountWeight())
                .setOutputTokens(request.outputTokens())
                .setObjectiveLeftNanos(request.objectiveLeft().toNanos())
                .setOrdered(true)
                .build();
        return links.sendAdmission(
                entry, Frame.newBuilder().setTargetAdmissionRequest(message).build());
    }

    @Override
    public void endAdmission(String entry, long number, TargetId target) {
        TargetAdmissionEnd message = TargetAdmissionEnd.newBuilder()
                .setNumber(number)
                .setTarget(target.value())
                .build();
        links.sendAdmissionEnd(
                entry, Frame.newBuilder().setTargetAdmissionEnd(message).build());
    }

    private void onRequest(String entry, TargetAdmissionRequest request) {
        boolean offered = request.getOrdered()
                && queues.offer(
                        new RequestKey(entry, request.getNumber()),
                        request.getRequest(),
                        TargetId.of(request.getTarget()),
                        toAdmissionRequest(request),
                        response -> respond(entry, request.getNumber(), response));
        if (!offered) {
            unordered.onRequest(entry, request);
        }
    }

    private static AdmissionRequest toAdmissionRequest(TargetAdmissionRequest request) {
        return new AdmissionRequest(
                Math.min(RequestPriority.LEAST_URGENT, Math.max(0, request.getUrgency())),
                toAccount(request.getAccount()),
                request.getAccountWeight(),
                request.getPromptTokens(),
                request.getOutputTokens(),
                Duration.ofNanos(request.getObjectiveLeftNanos()),
                toDelay(request.getLongestDelayNanos()));
    }

    /** Converts the name of an account; empty if there is none or if it is malformed, so that the request is not lost. */
    static Optional<AccountId> toAccount(String name) {
        return Names.isName(name) ? Optional.of(AccountId.of(name)) : Optional.empty();
    }

    private static Duration toDelay(long nanos) {
        return Duration.ofNanos(Math.min(MAXIMUM_DELAY_NANOS, Math.max(0, nanos)));
    }

    private void respond(String entry, long number, AdmissionResponse response) {
        TargetAdmissionResponse.Builder message =
                TargetAdmissionResponse.newBuilder().setNumber(number);
        AdmissionDecision decision = response.decision();
        if (decision instanceof AdmissionDecision.Queued queued) {
            message.setOutcome(TargetAdmissionResponse.Outcome.QUEUED)
                    .setDelayNanos(queued.expectedDelay().toNanos());
        } else if (decision instanceof AdmissionDecision.Rejected rejected) {
            message.setOutcome(TargetAdmissionResponse.Outcome.REJECTED)
                    .setRetryAfterNanos(rejected.retryAfter().toNanos())
                    .setReason(toMessage(rejected.reason()))
                    .setLessUrgentWait(response.lessUrgentWait());
        } else {
            message.setOutcome(TargetAdmissionResponse.Outcome.ADMITTED).setAdmitted(true);
        }
        links.sendAdmission(
                entry, Frame.newBuilder().setTargetAdmissionResponse(message).build());
    }

    private static TargetAdmissionResponse.Reason toMessage(AdmissionDecision.Reason reason) {
        return switch (reason) {
            case NO_TIME -> TargetAdmissionResponse.Reason.NO_TIME;
            case QUEUE_FULL -> TargetAdmissionResponse.Reason.QUEUE_FULL;
            case DISPLACED -> TargetAdmissionResponse.Reason.DISPLACED;
        };
    }

    private void onResponse(String entry, TargetAdmissionResponse response) {
        Optional<AdmissionResponse> ordered = toResponse(response);
        if (ordered.isPresent()) {
            admission.onResponse(entry, response.getNumber(), ordered.get());
        } else {
            admission.onUnorderedAnswer(entry, response.getNumber(), TargetAdmissionLinks.toDecision(response));
        }
    }

    /** Converts a response; empty if the entry has not ordered the request. */
    private static Optional<AdmissionResponse> toResponse(TargetAdmissionResponse response) {
        return switch (response.getOutcome()) {
            case ADMITTED -> Optional.of(new AdmissionResponse(new AdmissionDecision.Admitted(), false));
            case QUEUED -> Optional.of(
                    new AdmissionResponse(new AdmissionDecision.Queued(toDelay(response.getDelayNanos())), false));
            case REJECTED -> Optional.of(new AdmissionResponse(
                    new AdmissionDecision.Rejected(
                            toDelay(response.getRetryAfterNanos()), toReason(response.getReason())),
                    response.getLessUrgentWait()));
            default -> Optional.empty();
        };
    }

    private static AdmissionDecision.Reason toReason(TargetAdmissionResponse.Reason reason) {
        return switch (reason) {
            case QUEUE_FULL -> AdmissionDecision.Reason.QUEUE_FULL;
            case DISPLACED -> AdmissionDecision.Reason.DISPLACED;
            default -> AdmissionDecision.Reason.NO_TIME;
        };
    }

    private void onEnd(String entry, TargetAdmissionEnd end) {
        queues.end(new RequestKey(entry, end.getNumber()), TargetId.of(end.getTarget()));
    }

    private void onLinkClosed(String entry) {
        admission.onLinkClosed(entry);
        queues.onLinkClosed(entry);
    }
}
