package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
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
     * Queries whether requests are ordered by urgency and client account. If so, requests are made by {@link #request}, and a prompt
     * that was rejected is not sent without an admission.
     *
     * @return true if they are
     */
    default boolean isOrdered() {
        return false;
    }

    /**
     * Requests the admission of a prompt in the order of all requests for the target.
     *
     * @param target the target, not null
     * @param requestId the id of the caller's request, not null
     * @param request what the order depends on, not null
     * @param callback receives the decision, not null
     * @return the admission, to be ended once the request has ended or is not to be sent to the target, not null
     */
    default Admission request(Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback) {
        return admit(target, request.promptTokens(), request.maximumDelay(), callback)::cancel;
    }

    /** An admission that was requested. */
    @FunctionalInterface
    interface Admission {

        /** Ends the admission, or the wait for it; the callback is not called afterwards. Further calls have no effect. */
        void end();
    }

    /**
     * A decision on a prompt.
     *
     * @param admitted whether the prompt may be sent; if not, the target is saturated
     * @param delay the time by which the prompt is to be delayed, zero if it is not admitted, not null
     * @param rejection what the target's owner has said about a prompt that it has rejected, empty if it orders no requests or the
     *         prompt is admitted, not null
     */
    record Decision(boolean admitted, Duration delay, Optional<Rejection> rejection) {

        /** The prompt may be sent without delay. */
        public static final Decision IMMEDIATE = new Decision(true, Duration.ZERO);

        /** The prompt would be delayed for too long. */
        public static final Decision SATURATED = new Decision(false, Duration.ZERO);

        public Decision {
            Objects.requireNonNull(delay, "delay");
            Objects.requireNonNull(rejection, "rejection");
        }

        public Decision(boolean admitted, Duration delay) {
            this(admitted, delay, Optional.empty());
        }

        /**
         * Obtains a rejection.
         *
         * @param rejection what the target's owner has said, not null
         * @return the decision, not null
         */
        public static Decision rejected(Rejection rejection) {
            return new Decision(false, Duration.ZERO, Optional.of(rejection));
        }
    }

    /**
     * A rejection by a target's owner.
     *
     * @param retryAfter the time after which capacity for requests of this urgency is expected, not null
     * @param reason the reason, not null
     * @param lessUrgentWait whether less urgent requests wait at the target
     */
    record Rejection(Duration retryAfter, Reason reason, boolean lessUrgentWait) {

        public Rejection {
            Objects.requireNonNull(retryAfter, "retryAfter");
            Objects.requireNonNull(reason, "reason");
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
