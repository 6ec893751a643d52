package org.geraniumreach.coordination.ledger;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * One incarnation of an entry process, which sends attempts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the entry's instance
 * @param incarnation the number of this start of the process
 */
public record Sender(InstanceId instance, long incarnation) {

    public Sender {
        Objects.requireNonNull(instance, "instance");
    }
}
