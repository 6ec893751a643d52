package org.geraniumreach.model;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * The identity of one attempt to run one request on one target; it is also the stream's name at the engine.
 *
 * <p>Invariant: unique over the fleet with the certainty of 128 random bits, so an answer can be matched to its request
 * whatever connection brings it. Immutable and safe for use by several threads.
 *
 * @param value the identity's text
 */
public record AttemptId(String value) {

    public AttemptId {
        Names.requireName("attempt", value);
    }

    /**
     * Obtains an identity from its text.
     *
     * @param value the text, not null
     * @return the identity, not null
     */
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    /**
     * Makes a new identity.
     *
     * @param random the source of its bits, not null
     * @return the identity, not null
     */
    public static AttemptId random(RandomGenerator random) {
        return new AttemptId(new UUID(random.nextLong(), random.nextLong()).toString());
    }

    @Override
    public String toString() {
        return value;
    }
}
