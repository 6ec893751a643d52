package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.speed.TargetSpeed;

/**
 * The decision of a {@link Placement} for one request.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface PlacementDecision {

    /**
     * Gets the target that is to run the request or to load its adapter.
     *
     * @return the target, empty if none was selected, not null
     */
    Optional<Target> selectedTarget();

    /**
     * Send the request to a target.
     *
     * @param target the target
     * @param reason why the target was selected
     * @param expectedWaitMillis the expected time to the first part, 0 if it was not estimated
     * @param alsoLoad another target at which to load the adapter for future requests, empty for none
     * @param speed the speed of the target that was assumed
     */
    record Send(Target target, Reason reason, long expectedWaitMillis, Optional<Target> alsoLoad, TargetSpeed speed)
            implements PlacementDecision {

        public Send {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(alsoLoad, "alsoLoad");
            Objects.requireNonNull(speed, "speed");
        }

        @Override
        public Optional<Target> selectedTarget() {
            return Optional.of(target);
        }

        /**
         * Returns this decision without the load for future requests.
         *
         * @return the decision, not null
         */
        public Send withoutLoad() {
            return new Send(target, reason, expectedWaitMillis, Optional.empty(), speed);
        }
    }

    /**
     * Load the adapter and place the request again.
     *
     * @param target the target that is to load it
     */
    record Load(Target target) implements PlacementDecision {

        public Load {
            Objects.requireNonNull(target, "target");
        }

        @Override
        public Optional<Target> selectedTarget() {
            return Optional.of(target);
        }
    }

    /**
     * Place the request again after a delay, since all targets that hold the adapter have enough prompts to process.
     *
     * @param delay the delay
     */
    record Defer(Duration delay) implements PlacementDecision {

        public Defer {
            Objects.requireNonNull(delay, "delay");
        }

        @Override
        public Optional<Target> selectedTarget() {
            return Optional.empty();
        }
    }

    /**
     * No target can take the request.
     *
     * @param reason the reason
     * @param retryAfter the time after which a target takes requests again, empty if unknown
     */
    record Unplaceable(Reason reason, Optional<Duration> retryAfter) implements PlacementDecision {

        public Unplaceable {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }

        Unplaceable(Reason reason) {
            this(reason, Optional.empty());
        }

        @Override
        public Optional<Target> selectedTarget() {
            return Optional.empty();
        }
    }

    /** The reason for a decision. */
    enum Reason {
        /** The target ranks first in the order that all entries agree on. */
        HOME,
        /** The target holds the adapter but is not its home. */
        RESIDENT,
        /** All candidates are overloaded, and the target has the shortest expected wait. */
        LEAST_WAIT,
        /** The request needs no model, so the target with the least load was selected. */
        LEAST_LOAD,
        /** No target offers the service. */
        NO_TARGET,
        /** No target runs the software version that the request requires. */
        NO_VERSION,
        /** No target holds the adapter, and no entry can order a load at the moment. */
        NO_HOLDER,
        /** No remaining target holds the base model. */
        NO_MODEL,
        /** All remaining targets are in evacuated failure domains. */
        EVACUATED,
        /** All remaining targets are warming up and have reached their request limit. */
        COLD,
        /** All remaining targets take requests again only later, as they have asked for. */
        LIMITED,
        /** All targets of the service are excluded for this request, draining or leaving. */
        NONE_LEFT
    }
}
