package org.geraniumreach.serving.routing;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * The target that a router chose for a request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param instance its companion's instance
 * @param reason why the target was chosen
 * @param estimatedWaitNanos the expected waiting time at the target before the request runs
 */
public record Route(TargetId target, InstanceId instance, Reason reason, long estimatedWaitNanos) {

    public Route {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(reason, "reason");
    }

    /** The reason for a choice; a metric label. */
    public enum Reason {
        /** The adapter is resident at the target. */
        RESIDENT,
        /** The target is loading the adapter or waiting to load it. */
        LOADING,
        /** No target holds the adapter; this home target, one of the first in its rendezvous order, is to load it. */
        HOME,
        /** Other targets hold the adapter, but waiting for them costs more than loading it here. */
        REPLICA,
        /** The target probably caches the prompt's prefix. */
        PREFIX,
        /** The target was chosen by its load alone. */
        LOAD,
        /** The target was chosen at random. */
        RANDOM
    }
}
