package org.geraniumreach.model;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * The identifier of an attempt to run a request on a target, which also names the stream at the engine.
 *
 * <p>Invariant: identifiers are generated from 128 random bits and therefore unique in the fleet, so an answer can be
 * matched to its request on any connection. Immutable and safe for use by several threads.
 *
 * @param value the text of the identifier
 */
public record AttemptId(String value) {

    public AttemptId {
        Names.requireName("attempt", value);
    }

    /**
     * Creates an identifier from its text.
     *
     * @param value the text, not null
     * @return the identifier, not null
     */
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    /**
     * Creates a new identifier.
     *
     * @param random the source of its random bits, not null
     * @return the identifier, not null
     */
    public static AttemptId random(RandomGenerator random) {
        return new AttemptId(new UUID(random.nextLong(), random.nextLong()).toString());
    }

    @Override
    public String toString() {
        return value;
    }
}
