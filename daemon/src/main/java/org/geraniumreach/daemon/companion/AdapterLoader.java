package org.geraniumreach.daemon.companion;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.ModelEngine.Order;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.AdapterLoadCommand;
import org.geraniumreach.serving.residency.Residency;

/**
 * Carries out the orders to load and evict adapters.
 *
 * <p>Invariant: of each order the residency is told once, that it was carried out or that it failed; all who wait for a load
 * that failed are told at once. Calls block. Safe for use by several threads.
 */
final class AdapterLoader {

    private final ModelEngine engine;
    private final Residency residency;
    private final RequestQueue<CompanionAttempt> queue;
    private final EngineMonitor engineMonitor;
    private final OrderAuthorization authorization;
    private final AttemptLifecycle lifecycle;
    private final MonotonicClock clock;
    private final Map<AdapterReference, Long> loadedAt = new ConcurrentHashMap<>();

    AdapterLoader(
            ModelEngine engine,
            Residency residency,
            RequestQueue<CompanionAttempt> queue,
            EngineMonitor watch,
            OrderAuthorization permit,
            AttemptLifecycle outcomes,
            MonotonicClock clock) {
        this.engine = engine;
        this.residency = residency;
        this.queue = queue;
        this.engineMonitor = watch;
        this.authorization = permit;
        this.lifecycle = outcomes;
        this.clock = clock;
    }

    /**
     * Carries an order out.
     *
     * @param order the order, not null
     */
    void execute(AdapterLoadCommand order) {
        try {
            if (order.evicted().isPresent()) {
                engine.unload(order.evicted().get(), authorizedOrder());
                EventLog.write(EventCode.ADAPTER_EVICTED, "{}", order.evicted().get());
            }
            engine.load(order.adapter(), authorizedOrder());
            loadedAt.keySet().retainAll(residency.resident());
            loadedAt.put(order.adapter(), clock.nanos());
            residency.onLoaded(order);
            EventLog.write(EventCode.ADAPTER_LOADED, "{}", order.adapter());
        } catch (PlatformException failure) {
            onFailed(order, failure);
        }
    }

    private Order authorizedOrder() throws PlatformException {
        return authorization
                .authorize(clock.nanos())
                .orElseThrow(() -> new PlatformException(
                        PlatformException.Effect.NONE,
                        PlatformException.Reason.FENCED,
                        "this companion may not give the target orders",
                        null));
    }

    private void onFailed(AdapterLoadCommand order, PlatformException failure) {
        EventLog.write(EventCode.ADAPTER_LOAD_FAILED, "{}: {}", order.adapter(), failure.getMessage());
        if (failure.reason() == PlatformException.Reason.FENCED) {
            authorization.onFencedOut();
        }
        engineMonitor.invalidate();
        for (AttemptId waiter : residency.onLoadFailed(order)) {
            queue.remove(waiter)
                    .ifPresent(request -> lifecycle.refuse(
                            request.payload(),
                            ServingException.notRun(
                                    ResultCode.LOAD_FAILED,
                                    "the load of " + order.adapter() + " failed: " + failure.getMessage())));
        }
    }

    /**
     * Works out how long a request has waited for its adapter's load.
     *
     * @param adapter the adapter, not null
     * @param from when the request came
     * @param until when it was sent
     * @return the time in nanoseconds
     */
    long loadWaitNanos(AdapterReference adapter, long from, long until) {
        long loadEnd = loadedAt.getOrDefault(adapter, from);
        return Math.min(until - from, Math.max(0, loadEnd - from));
    }
}
