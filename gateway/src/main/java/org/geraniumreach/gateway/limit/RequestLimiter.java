package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;

/**
 * Decides whether a request may be sent to a target.
 *
 * <p>Contract: the callback is called once, during the call or later, and never after a cancellation. Confined to the event loop.
 */
@FunctionalInterface
public interface RequestLimiter {

    /**
     * Requests the admission of a request.
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
     * @param validFor the time within which an admitted request has to be sent, zero if it has to be sent at once
     */
    record Decision(boolean admitted, Duration retryAfter, Duration validFor) {

        /** The request may be sent now, since the target names no limit. */
        public static final Decision UNLIMITED = new Decision(true, Duration.ZERO, Duration.ZERO);

        public Decision {
            Objects.requireNonNull(retryAfter, "retryAfter");
            Objects.requireNonNull(validFor, "validFor");
        }

        /**
         * Obtains a refusal.
         *
         * @param retryAfter the time until the target takes another request, not null
         * @return the decision, not null
         */
        public static Decision refused(Duration retryAfter) {
            return new Decision(false, retryAfter, Duration.ZERO);
        }

        /**
         * Obtains a permission for one request to a limited target.
         *
         * @param validFor the time within which the request has to be sent, not null
         * @return the decision, not null
         */
        public static Decision permitted(Duration validFor) {
            return new Decision(true, Duration.ZERO, validFor);
        }
    }

    /**
     * Returns a limiter that admits all requests.
     *
     * @return the limiter, not null
     */
    static RequestLimiter unlimited() {
        return (target, callback) -> {
            callback.accept(Decision.UNLIMITED);
            return Cancellable.NOOP;
        };
    }
}
