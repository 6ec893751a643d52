package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.PlacementDecision;

/**
 * Waits for the time at which a prompt may be sent to a target.
 *
 * <p>Confined to the event loop.
 */
final class PacedAdmissionStep implements AdmissionStep {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final SendConditions conditions;
    private final AdmissionAttempts attempts;
    private final PendingWaits waits;

    PacedAdmissionStep(
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
        if (request.promptTokens() == 0 || !attempts.mayAttempt()) {
            results.onAdmitted();
            return;
        }
        waits.start(WaitCause.PREFILL_CAPACITY);
        Duration maximumDelay = attempts.maximumDelay(request.route().latencyObjective(), request.elapsed());
        waits.setDecision(services.admission()
                .admit(
                        send.target(),
                        request.promptTokens(),
                        maximumDelay,
                        decision -> onDecision(send, decision, results)));
    }

    private void onDecision(PlacementDecision.Send send, TargetAdmission.Decision decision, Results results) {
        if (!decision.admitted()) {
            attempts.recordRefusal(send.target().id());
            results.onPlaceAgain();
        } else if (decision.delay().isZero()) {
            sendIfStillSendable(send, results);
        } else {
            waits.schedule(decision.delay(), () -> sendIfStillSendable(send, results));
        }
    }

    private void sendIfStillSendable(PlacementDecision.Send send, Results results) {
        waits.stop();
        if (conditions.isSendable(send.target())) {
            results.onAdmitted();
        } else {
            results.onPlaceAgain();
        }
    }
}
