package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.model.ResultCode;

/**
 * Waits for the admission of a prompt in the order that the owner of its target keeps.
 *
 * <p>Invariants: a prompt that owners have rejected is sent only once one of them has admitted it. An admission that
 * was not handed over is ended before another is requested. Confined to the event loop.
 */
final class OrderedAdmissionStep implements AdmissionStep {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final SendConditions conditions;
    private final AdmissionAttempts attempts;
    private final PendingWaits waits;
    private HeldAdmission held = new HeldAdmission();

    OrderedAdmissionStep(
            ExchangeServices services,
            RoutedRequest request,
            SendConditions conditions,
            AdmissionAttempts attempts,
            PendingWaits waits) {
        this.services = services;
        this.request = request;
        this.conditions = conditions;
        this.attempts = attempts;
        this.waits = waits;
    }

    @Override
    public void run(PlacementDecision.Send send, Results results) {
        if (request.promptTokens() == 0) {
            results.onAdmitted();
            return;
        }
        Target target = send.target();
        waits.start(WaitCause.PREFILL_CAPACITY);
        if (attempts.hasBeenRejectedBy(target.id())) {
            waitOrReject(target, results);
        } else if (attempts.mayAttempt() || attempts.isRejected()) {
            Duration maximumDelay = attempts.maximumDelay(request.route().latencyObjective(), request.elapsed());
            requestAdmission(target, maximumDelay, results);
        } else {
            // Only entries that order nothing have refused the request, and it is treated as it would be without an
            // order.
            sendIfStillSendable(target, results);
        }
    }

    private void requestAdmission(Target target, Duration maximumDelay, Results results) {
        end();
        HeldAdmission holder = held;
        RequestPriority priority = request.priority();
        AdmissionRequest wanted = new AdmissionRequest(
                priority.urgency(),
                priority.account(),
                priority.accountWeight(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                request.objectiveLeft(),
                maximumDelay);
        holder.hold(services.admission()
                .request(target, request.request().id(), wanted, decision -> onDecision(target, decision, results)));
    }

    private void onDecision(Target target, TargetAdmission.Decision decision, Results results) {
        if (decision.admitted()) {
            sendAfter(decision.delay(), target, results);
            return;
        }
        attempts.recordRefusal(target.id(), decision.rejection());
        if (attempts.mayAttempt() || !attempts.isRejected()) {
            results.onPlaceAgain();
        } else {
            waitOrReject(target, results);
        }
    }

    private void sendAfter(Duration delay, Target target, Results results) {
        if (delay.isZero()) {
            sendIfStillSendable(target, results);
        } else {
            waits.schedule(delay, () -> sendIfStillSendable(target, results));
        }
    }

    private void sendIfStillSendable(Target target, Results results) {
        waits.stop();
        if (conditions.isSendable(target)) {
            results.onAdmitted();
        } else {
            results.onPlaceAgain();
        }
    }

    /**
     * Lets the request wait for as long as its caller does, or rejects it. A request waits only where less urgent ones wait
     * as well, since those of the least urgent class would fill the queue and be late all the same.
     */
    private void waitOrReject(Target target, Results results) {
        Duration longestWait = request.remaining().minus(services.settings().minimumRemaining());
        Duration retryAfter = attempts.shortestRetryAfter();
        boolean timeSuffices = retryAfter.compareTo(longestWait) < 0;
        if (attempts.mayWaitAt(target.id()) && timeSuffices) {
            attempts.recordLastWait();
            requestAdmission(target, longestWait, results);
        } else {
            results.onRejected(ResultCode.OVERLOADED, "rejected by the targets' owners: " + reason(), retryAfter);
        }
    }

    private String reason() {
        return attempts.lastRejection()
                .map(TargetAdmission.Rejection::reason)
                .map(Reason::name)
                .orElse("");
    }

    @Override
    public void end() {
        handOver().end();
    }

    @Override
    public HeldAdmission handOver() {
        HeldAdmission handedOver = held;
        held = new HeldAdmission();
        return handedOver;
    }
}
