package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;

/**
 * Decides whether a request may be sent to a target now.
 *
 * <p>Contract: the callback is called once, during the call or later, and never after a cancellation. Confined to the event loop.
 */
@FunctionalInterface
public interface RequestLimiter {

    /**
     * Requests the admission of a request that is sent as soon as it is admitted.
     *
     * @param target the target, not null
     * @param callback receives the decision, not null
     * @return a handle that cancels the request, not null
     */
    Cancellable admit(Target target, Consumer<Decision> callback);

    /**
     * A decision on a request.
     *
     * @param admitted whether the request may be sent
     * @param retryAfter the time until the target takes another request, zero if admitted
     */
    record Decision(boolean admitted, Duration retryAfter) {

        /** The request may be sent. */
        public static final Decision ADMITTED = new Decision(true, Duration.ZERO);

        public Decision {
            Objects.requireNonNull(retryAfter, "retryAfter");
        }

        /**
         * Obtains a refusal.
         *
         * @param retryAfter the time until the target takes another request, not null
         * @return the decision, not null
         */
        public static Decision refused(Duration retryAfter) {
            return new Decision(false, retryAfter);
        }
    }

    /**
     * Returns a limiter that admits all requests.
     *
     * @return the limiter, not null
     */
    static RequestLimiter unlimited() {
        return (target, callback) -> {
            callback.accept(Decision.ADMITTED);
            return Cancellable.NOOP;
        };
    }
}
