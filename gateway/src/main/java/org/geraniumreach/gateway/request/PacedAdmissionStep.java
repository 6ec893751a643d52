package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.PlacementDecision;

/**
 * Waits for the time at which a prompt may be sent to a target.
 *
 * <p>Confined to the event loop.
 */
final class PacedAdmissionStep {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final AdmissionAttempts attempts;
    private final PendingWaits waits;

    PacedAdmissionStep(
            ExchangeServices services, RoutedRequest request, AdmissionAttempts attempts, PendingWaits waits) {
        this.services = services;
        this.request = request;
        this.attempts = attempts;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param send the selected target
     * @param next run once the prompt may be sent to the target
     * @param placeAgain run if it may not
     */
    void run(PlacementDecision.Send send, Runnable next, Runnable placeAgain) {
        if (request.promptTokens() == 0 || !attempts.mayAttempt()) {
            next.run();
            return;
        }
        waits.start(WaitCause.PREFILL_CAPACITY);
        Duration maximumDelay = attempts.maximumDelay(request.route().latencyObjective(), request.elapsed());
        waits.setDecision(services.admission()
                .admit(
                        send.target(),
                        request.promptTokens(),
                        maximumDelay,
                        decision -> onDecision(send, decision, next, placeAgain)));
    }

    private void onDecision(
            PlacementDecision.Send send, TargetAdmission.Decision decision, Runnable next, Runnable placeAgain) {
        if (!decision.admitted()) {
            attempts.recordRefusal(send.target().id());
            placeAgain.run();
        } else if (decision.delay().isZero()) {
            sendIfStillSendable(send, next, placeAgain);
        } else {
            waits.schedule(decision.delay(), () -> sendIfStillSendable(send, next, placeAgain));
        }
    }

    private void sendIfStillSendable(PlacementDecision.Send send, Runnable next, Runnable placeAgain) {
        waits.stop();
        if (services.placement().isSendable(send.target())) {
            next.run();
        } else {
            placeAgain.run();
        }
    }
}
