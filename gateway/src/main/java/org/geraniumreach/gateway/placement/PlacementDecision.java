package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a {@link Placement} chose.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface PlacementDecision {

    /**
     * Send the request now.
     *
     * @param target where to
     * @param reason what decided
     * @param expectedWaitMillis the wait for the first part that was expected
     * @param alsoLoad where the adapter is to be loaded for requests to come
     */
    record Send(Target target, Reason reason, long expectedWaitMillis, Optional<Target> alsoLoad)
            implements PlacementDecision {

        public Send {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(alsoLoad, "alsoLoad");
        }
    }

    /**
     * Have the adapter loaded and ask again.
     *
     * @param target where to load it
     */
    record Load(Target target) implements PlacementDecision {

        public Load {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Ask again a little later: each target that could run it now has enough to read.
     *
     * @param delay after what time
     */
    record Defer(Duration delay) implements PlacementDecision {

        public Defer {
            Objects.requireNonNull(delay, "delay");
        }
    }

    /**
     * No target can take it.
     *
     * @param reason why
     */
    record Unplaceable(Reason reason) implements PlacementDecision {}

    /** What decided a choice. */
    enum Reason {
        /** It is the first of the order that all entries agree on. */
        HOME,
        /** The adapter is there, though it is not the home. */
        RESIDENT,
        /** The home is crowded. */
        LEAST_WAIT,
        /** Only the load counted. */
        LEAST_LOAD,
        /** No target offers the service. */
        NO_TARGET,
        /** The adapter is nowhere, and nobody can have it loaded now. */
        NO_HOLDER,
        /** No target that is left holds the base model. */
        NO_MODEL,
        /** Each target that is left stands in an evacuated failure domain. */
        EVACUATED,
        /** Each target that is left must warm up and gets nothing more now. */
        COLD,
        /** Each target that is left was tried or is left out after failures. */
        NONE_LEFT
    }
}
