package org.geraniumreach.coordination.configuration;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.Names;
import org.geraniumreach.model.record.RecordKey;

/**
 * A change of one record, submitted by an operator.
 *
 * <p>Invariant: the operation id is a valid name; an id that is submitted again means the same change. Immutable and safe for
 * use by several threads.
 *
 * @param operation the operation id, chosen by the operator
 * @param basedOn the revision at which the operator read the record; a later change of the record is a conflict
 * @param key the key of the record
 * @param body the record's new JSON text, or empty to withdraw it
 */
public record Submission(String operation, long basedOn, RecordKey key, Optional<String> body) {

    public Submission {
        Names.requireName("operation", operation);
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(body, "body");
        if (basedOn < 0) {
            throw new IllegalArgumentException("negative revision: " + basedOn);
        }
    }
}
