package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.limit.LimitAdmission;
import org.geraniumreach.gateway.limit.LimitReport;
import org.geraniumreach.gateway.limit.RequestLimiter.Decision;
import org.geraniumreach.gateway.limit.RequestRate;
import org.geraniumreach.gateway.limit.TargetLimits;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.TargetLimit;
import org.geraniumreach.messages.TargetLimitRequest;
import org.geraniumreach.messages.TargetLimitResponse;
import org.geraniumreach.messages.TargetLimitUpdate;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;

/**
 * Exchanges the limits that targets name with the other entries, and permissions for requests with the targets' owners.
 *
 * <p>Confined to the event loop.
 */
final class TargetLimitLinks {

    private final TargetLimits limits;
    private final LimitAdmission admission;
    private final TargetRegistry registry;
    private final EntryLinks links;
    private final DecisionLog log;

    TargetLimitLinks(
            TargetLimits limits, LimitAdmission admission, TargetRegistry registry, EntryLinks links, DecisionLog log) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.admission = Objects.requireNonNull(admission, "admission");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.links = Objects.requireNonNull(links, "links");
        this.log = Objects.requireNonNull(log, "log");
        limits.setChangeListener((target, report) -> links.sendLimitToAll(toUpdate(target, report)));
        links.onLimit(new EntryLinks.LimitHandler(this::sendAll, this::onRequest, this::onResponse, this::onUpdate));
    }

    /** Sends a request for a permission; returns whether it was sent. */
    boolean requestCall(String owner, long number, Target target, LimitReport known) {
        TargetLimitRequest request = TargetLimitRequest.newBuilder()
                .setNumber(number)
                .setKnown(toMessage(target, known))
                .build();
        return links.sendLimit(
                owner, Frame.newBuilder().setTargetLimitRequest(request).build());
    }

    /** Sends all limits in force to an entry, which may have missed their beginning. */
    private void sendAll(String entry) {
        registry.all().stream().filter(admission::isLimited).forEach(target -> limits.report(target)
                .ifPresent(report -> links.sendLimit(entry, toUpdate(target, report))));
    }

    private void onRequest(String entry, TargetLimitRequest request) {
        TargetLimit known = request.getKnown();
        Optional<Decision> decision = toReport(known)
                .flatMap(report ->
                        admission.decideForPeer(TargetId.of(known.getTarget()), known.getStartedAt(), report));
        TargetLimitResponse response = TargetLimitResponse.newBuilder()
                .setNumber(request.getNumber())
                .setDecision(toMessage(decision))
                .setRetryAfterNanos(
                        decision.map(Decision::retryAfter).orElse(Duration.ZERO).toNanos())
                .setValidForNanos(
                        decision.map(Decision::validFor).orElse(Duration.ZERO).toNanos())
                .build();
        links.sendLimit(
                entry, Frame.newBuilder().setTargetLimitResponse(response).build());
    }

    private void onResponse(TargetLimitResponse response) {
        admission.onAnswer(response.getNumber(), toDecision(response));
    }

    private void onUpdate(TargetLimit known) {
        registry.find(TargetId.of(known.getTarget()))
                .filter(target -> target.description().startedAt() == known.getStartedAt())
                .ifPresent(target -> toReport(known).ifPresent(report -> limits.onReport(target, report)));
    }

    private static Frame toUpdate(Target target, LimitReport report) {
        TargetLimitUpdate update = TargetLimitUpdate.newBuilder()
                .setKnown(toMessage(target, report))
                .build();
        return Frame.newBuilder().setTargetLimitUpdate(update).build();
    }

    private static TargetLimit toMessage(Target target, LimitReport report) {
        return TargetLimit.newBuilder()
                .setTarget(target.id().value())
                .setStartedAt(target.description().startedAt())
                .setLimited(report.rate().isPresent())
                .setRequestsPerSecond(report.rate().map(RequestRate::perSecond).orElse(0.0))
                .setAgeNanos(report.age().toNanos())
                .build();
    }

    /** Converts a message; empty if it is malformed. */
    private Optional<LimitReport> toReport(TargetLimit known) {
        try {
            Optional<RequestRate> rate =
                    known.getLimited() ? Optional.of(new RequestRate(known.getRequestsPerSecond())) : Optional.empty();
            return Optional.of(new LimitReport(rate, Duration.ofNanos(known.getAgeNanos())));
        } catch (IllegalArgumentException malformed) {
            log.write(EventCode.UNEXPECTED_FAILURE, known.getTarget(), Field.of("reason", malformed.getMessage()));
            return Optional.empty();
        }
    }

    private static TargetLimitResponse.Decision toMessage(Optional<Decision> decision) {
        return decision.map(known ->
                        known.admitted() ? TargetLimitResponse.Decision.ADMITTED : TargetLimitResponse.Decision.REFUSED)
                .orElse(TargetLimitResponse.Decision.NOT_OWNER);
    }

    private static Optional<Decision> toDecision(TargetLimitResponse response) {
        return switch (response.getDecision()) {
            case ADMITTED -> Optional.of(
                    Decision.permitted(Duration.ofNanos(Math.max(0, response.getValidForNanos()))));
            case REFUSED -> Optional.of(Decision.refused(Duration.ofNanos(Math.max(0, response.getRetryAfterNanos()))));
            default -> Optional.empty();
        };
    }
}
