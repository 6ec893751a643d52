package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.function.Consumer;

import org.geraniumreach.gateway.quota.Quotas;

/**
 * Waits until a request is within the rate of its client account.
 *
 * <p>Confined to the event loop.
 */
final class QuotaStep {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final PendingWaits waits;

    QuotaStep(ExchangeServices services, RoutedRequest request, PendingWaits waits) {
        this.services = services;
        this.request = request;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param onAdmitted run once the request is within the rate, at once if no account is charged
     * @param onRefused receives the time after which to retry if it is not
     */
    void run(Runnable onAdmitted, Consumer<Duration> onRefused) {
        if (request.account().isEmpty()) {
            onAdmitted.run();
            return;
        }
        waits.start(WaitCause.RATE);
        waits.setDecision(services.quotas()
                .admit(
                        request.account().get(),
                        request.quotaUnits(request.account().get()),
                        request.remaining(),
                        decision -> onDecision(decision, onAdmitted, onRefused)));
    }

    private void onDecision(Quotas.Admission decision, Runnable onAdmitted, Consumer<Duration> onRefused) {
        if (!decision.admitted()) {
            onRefused.accept(decision.delay().orElse(Refusal.DEFAULT_RETRY_AFTER));
            return;
        }
        Duration delay = decision.delay().orElse(Duration.ZERO);
        if (delay.isZero()) {
            onAdmitted.run();
        } else {
            waits.schedule(delay, onAdmitted);
        }
    }
}
