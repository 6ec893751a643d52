package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.crash.Verdict;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Stops a request under which targets have ended, and holds it while it is being found out whether it may be sent.
 *
 * <p>Invariant: a request is not held for longer than {@link #MAXIMUM_HOLD} in total. Confined to the event loop.
 */
final class SuspicionStep {

    private static final int CHECK_INTERVAL_MILLIS = 20;

    /** Spreads the requests of several entries that wait for the same result, so that the first one is known to the others. */
    private static final int CHECK_SPREAD_MILLIS = 60;

    /** Most answers that are tried go on within this time. */
    private static final Duration MAXIMUM_HOLD = Duration.ofSeconds(1);

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final PendingWaits waits;
    private OptionalLong heldSince = OptionalLong.empty();

    SuspicionStep(ExchangeServices services, RoutedRequest request, PendingWaits waits) {
        this.services = services;
        this.request = request;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param onSendable run at once if the request may be sent
     * @param onStopped receives the verdict if it may not be, or if it has been held for too long
     * @param runAgain run after a while if the request is held
     */
    void run(Runnable onSendable, Consumer<Verdict> onStopped, Runnable runAgain) {
        Verdict verdict = services.crashes().decide(request::identity);
        if (verdict.isSendable()) {
            onSendable.run();
            return;
        }
        if (verdict.result() == Verdict.Result.REFUSED || isHeldTooLong()) {
            onStopped.accept(verdict);
            return;
        }
        waits.start(WaitCause.SUSPICION);
        waits.schedule(checkInterval(), runAgain);
    }

    private Duration checkInterval() {
        int hash = Rendezvous.hash(request.request().id());
        return Duration.ofMillis(CHECK_INTERVAL_MILLIS + Math.floorMod(hash, CHECK_SPREAD_MILLIS));
    }

    private boolean isHeldTooLong() {
        long now = services.clock().nanos();
        if (heldSince.isEmpty()) {
            heldSince = OptionalLong.of(now);
        }
        return now - heldSince.getAsLong() >= MAXIMUM_HOLD.toNanos();
    }
}
