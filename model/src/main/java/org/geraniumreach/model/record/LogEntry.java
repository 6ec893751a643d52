package org.geraniumreach.model.record;

import java.util.Objects;
import java.util.Optional;

/**
 * One accepted change of the configuration.
 *
 * <p>Invariant: revisions start at 1 and are one apart; an entry, once accepted, never changes. Immutable and safe for use
 * by several threads.
 *
 * @param revision the revision that the change makes
 * @param operation the operation id that the submitter chose
 * @param key the record changed
 * @param body the record's new JSON text, or empty if it is withdrawn
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
