package org.geraniumreach.coordination.ledger;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * One incarnation of a companion process; an attempt sent to it must not run on another one.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the companion's instance
 * @param incarnation the number of this start of the process
 */
public record Companion(InstanceId instance, long incarnation) {

    public Companion {
        Objects.requireNonNull(instance, "instance");
    }
}
