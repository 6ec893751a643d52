package org.geraniumreach.gateway.request;

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
        services.adapters().enqueue(target, adapter, Optional.of(request.objectiveLeft()), loadWait.mayBeDeclined());
    }
}
