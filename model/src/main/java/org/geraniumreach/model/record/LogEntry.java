package org.geraniumreach.model.record;

import java.util.Objects;
import java.util.Optional;

/**
 * An accepted change of the configuration.
 *
 * <p>Invariant: revisions are consecutive and start at 1; an accepted entry never changes. Immutable and safe for use
 * by several threads.
 *
 * @param revision the revision that the change creates
 * @param operation the operation id, chosen by the submitter
 * @param key the key of the changed record
 * @param body the new JSON text of the record, or empty if it is withdrawn
 */
public record LogEntry(long revision, String operation, RecordKey key, Optional<String> body) {

    public LogEntry {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(body, "body");
        if (revision < 1) {
            throw new IllegalArgumentException("revision below 1: " + revision);
        }
    }
}
