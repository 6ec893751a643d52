package org.geraniumreach.serving.routing;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * A router's choice.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param instance its companion's instance
 * @param reason what decided
 * @param estimatedWaitNanos how long the request is expected to wait there before it runs
 */
public record Route(TargetId target, InstanceId instance, Reason reason, long estimatedWaitNanos) {

    public Route {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(reason, "reason");
    }

    /** What decided a choice; a label of metrics. */
    public enum Reason {
        /** The adapter is there. */
        RESIDENT,
        /** The adapter is on its way there. */
        LOADING,
        /** The adapter is nowhere; the first of its order is to load it. */
        HOME,
        /** The adapter is elsewhere, but waiting there costs more than a load here. */
        REPLICA,
        /** The conversation's prefix is there. */
        PREFIX,
        /** Only the load counted. */
        LOAD,
        /** Chance. */
        RANDOM
    }
}
