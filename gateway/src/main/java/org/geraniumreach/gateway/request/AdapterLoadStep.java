package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Has the adapter of a request loaded at a target and waits for it.
 *
 * <p>Confined to the event loop.
 */
final class AdapterLoadStep {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final LoadWait loadWait;
    private final PendingWaits waits;

    AdapterLoadStep(ExchangeServices services, RoutedRequest request, LoadWait loadWait, PendingWaits waits) {
        this.services = services;
        this.request = request;
        this.loadWait = loadWait;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param target the target that is to load the adapter
     * @param placeAgain run when the adapter may be loaded, and at an interval
     * @param onTimeout run at once if the request has waited for its adapter for too long
     */
    void run(Target target, Runnable placeAgain, Runnable onTimeout) {
        AdapterName adapter = request.adapter().orElseThrow();
        long now = services.clock().nanos();
        if (!loadWait.startOrContinue(now)) {
            onTimeout.run();
            return;
        }
        loadWait.recordRequest(target.id(), now);
        waits.start(WaitCause.ADAPTER);
        waits.cancelAdapterChange();
        waits.setAdapterChange(services.adapters().await(adapter, placeAgain));
        waits.schedule(services.settings().placementRetryInterval(), placeAgain);
        requestLoad(target, adapter);
    }

    /** Requests the load, with the priority of the request only where targets' owners order requests. */
    private void requestLoad(Target target, AdapterName adapter) {
        Optional<Duration> untilLate = Optional.of(request.objectiveLeft());
        boolean mayDecline = loadWait.mayBeDeclined();
        if (services.admission().isOrdered()) {
            services.adapters().enqueue(target, adapter, untilLate, mayDecline, request.priority());
        } else {
            services.adapters().enqueue(target, adapter, untilLate, mayDecline);
        }
    }
}
