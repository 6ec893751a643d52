package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;

/**
 * Decides when a prompt may be sent to a target.
 *
 * <p>Contract: the callback is called once, during the call or later, and never after a cancellation. Confined to the event loop.
 */
@FunctionalInterface
public interface TargetAdmission {

    /**
     * Requests the admission of a prompt.
     *
     * @param target the target, not null
     * @param promptTokens the number of tokens of the prompt
     * @param maxDelay the longest time that the prompt may be delayed, not null
     * @param callback receives the decision, not null
     * @return a handle that cancels the request, not null
     */
    Cancellable admit(Target target, long promptTokens, Duration maxDelay, Consumer<Decision> callback);

    /**
     * A decision on a prompt.
     *
     * @param admitted whether the prompt may be sent; if not, the target is saturated
     * @param delay the time by which the prompt is to be delayed, zero if it is not admitted, not null
     */
    record Decision(boolean admitted, Duration delay) {

        /** The prompt may be sent without delay. */
        public static final Decision IMMEDIATE = new Decision(true, Duration.ZERO);

        /** The prompt would be delayed for too long. */
        public static final Decision SATURATED = new Decision(false, Duration.ZERO);

        public Decision {
            Objects.requireNonNull(delay, "delay");
        }
    }

    /**
     * Returns an admission that admits all prompts without delay.
     *
     * @return the admission, not null
     */
    static TargetAdmission unpaced() {
        return (target, promptTokens, maxDelay, callback) -> {
            callback.accept(Decision.IMMEDIATE);
            return Cancellable.NOOP;
        };
    }
}
