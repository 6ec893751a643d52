package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;

/**
 * Decides when a prompt may be sent to a target.
 *
 * <p>Contract: each decision is told once, at once or later, and never after a cancellation. Confined to the event loop.
 */
@FunctionalInterface
public interface TargetAdmission {

    /**
     * Asks for a prompt's turn.
     *
     * @param target where it is to be sent, not null
     * @param promptTokens its tokens
     * @param longestDelay the longest time that it may be held back, not null
     * @param decided told of the decision, not null
     * @return calls it off, not null
     */
    Cancellable admit(Target target, long promptTokens, Duration longestDelay, Consumer<Decision> decided);

    /**
     * What was decided.
     *
     * @param admitted whether the prompt may be sent; if not, the target has too much to read
     * @param delay how long it is to be held back, zero if it is not admitted
     */
    record Decision(boolean admitted, Duration delay) {

        /** The prompt may be sent at once. */
        public static final Decision IMMEDIATE = new Decision(true, Duration.ZERO);

        /** The prompt would be held back for too long. */
        public static final Decision SATURATED = new Decision(false, Duration.ZERO);

        public Decision {
            Objects.requireNonNull(delay, "delay");
        }
    }

    /**
     * Obtains an admission by which each prompt may be sent at once.
     *
     * @return the admission, not null
     */
    static TargetAdmission unpaced() {
        return (target, promptTokens, longestDelay, decided) -> {
            decided.accept(Decision.IMMEDIATE);
            return Cancellable.NOTHING;
        };
    }
}
