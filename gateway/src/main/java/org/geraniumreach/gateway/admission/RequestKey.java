package org.geraniumreach.gateway.admission;

import java.util.Objects;

/**
 * Identifies a request for admission among those of all entries.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param entry the entry that asks
 * @param number the number that it has given the request
 */
public record RequestKey(String entry, long number) {

    public RequestKey {
        Objects.requireNonNull(entry, "entry");
    }
}
