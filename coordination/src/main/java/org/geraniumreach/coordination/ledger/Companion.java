package org.geraniumreach.coordination.ledger;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * One start of a companion process; an attempt sent to it may run on no other.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the companion's instance
 * @param incarnation the number of its start
 */
public record Companion(InstanceId instance, long incarnation) {

    public Companion {
        Objects.requireNonNull(instance, "instance");
    }
}
