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
import org.geraniumreach.ports.ModelEngine.CommandFence;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.AdapterLoadCommand;
import org.geraniumreach.serving.residency.Residency;

/**
 * Executes the commands to load and evict adapters.
 *
 * <p>Invariant: the residency is told once of each command, either that it succeeded or that it failed; all requests
 * that wait for a failed load are refused at once. Methods block. Safe for use by several threads.
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
            EngineMonitor engineMonitor,
            OrderAuthorization authorization,
            AttemptLifecycle lifecycle,
            MonotonicClock clock) {
        this.engine = engine;
        this.residency = residency;
        this.queue = queue;
        this.engineMonitor = engineMonitor;
        this.authorization = authorization;
        this.lifecycle = lifecycle;
        this.clock = clock;
    }

    /**
     * Executes a command.
     *
     * @param command the command, not null
     */
    void execute(AdapterLoadCommand command) {
        try {
            if (command.evicted().isPresent()) {
                engine.unload(command.evicted().get(), authorizedOrder());
                EventLog.write(
                        EventCode.ADAPTER_EVICTED, "{}", command.evicted().get());
            }
            engine.load(command.adapter(), authorizedOrder());
            loadedAt.keySet().retainAll(residency.resident());
            loadedAt.put(command.adapter(), clock.nanos());
            residency.onLoaded(command);
            EventLog.write(EventCode.ADAPTER_LOADED, "{}", command.adapter());
        } catch (PlatformException failure) {
            onFailed(command, failure);
        } catch (UnauthorizedOrderException unauthorized) {
            refuseWaiters(command, ResultCode.FENCED, unauthorized.getMessage());
        }
    }

    /** Thrown if no order may be sent; the engine has not been called. */
    private static final class UnauthorizedOrderException extends Exception {
        private static final long serialVersionUID = 1L;

        private UnauthorizedOrderException() {
            super("this companion may not give the target orders");
        }
    }

    private CommandFence authorizedOrder() throws UnauthorizedOrderException {
        return authorization.authorize(clock.nanos()).orElseThrow(UnauthorizedOrderException::new);
    }

    private void onFailed(AdapterLoadCommand command, PlatformException failure) {
        EventLog.write(EventCode.ADAPTER_LOAD_FAILED, "{}: {}", command.adapter(), failure.getMessage());
        if (failure.reason() == PlatformException.Reason.FENCED) {
            authorization.onFencedOut();
        }
        refuseWaiters(
                command,
                ResultCode.LOAD_FAILED,
                "the load of " + command.adapter() + " failed: " + failure.getMessage());
    }

    private void refuseWaiters(AdapterLoadCommand command, ResultCode code, String message) {
        engineMonitor.invalidate();
        for (AttemptId waiter : residency.onLoadFailed(command)) {
            queue.remove(waiter)
                    .ifPresent(request -> lifecycle.refuse(request.payload(), ServingException.notRun(code, message)));
        }
    }

    /**
     * Computes how long a request has waited for the load of its adapter.
     *
     * @param adapter the adapter, not null
     * @param from when the request arrived
     * @param until when the request was sent to the engine
     * @return the time in nanoseconds
     */
    long loadWaitNanos(AdapterReference adapter, long from, long until) {
        long loadEnd = loadedAt.getOrDefault(adapter, from);
        return Math.min(until - from, Math.max(0, loadEnd - from));
    }
}
