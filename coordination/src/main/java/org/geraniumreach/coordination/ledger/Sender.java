package org.geraniumreach.coordination.ledger;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * One start of an entry process, which sends attempts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the entry's instance
 * @param incarnation the number of its start
 */
public record Sender(InstanceId instance, long incarnation) {

    public Sender {
        Objects.requireNonNull(instance, "instance");
    }
}
