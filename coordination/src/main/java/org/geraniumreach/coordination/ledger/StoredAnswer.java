package org.geraniumreach.coordination.ledger;

import java.util.Objects;

/**
 * Where the answer of a finished request is.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface StoredAnswer {

    /**
     * An answer within the row.
     *
     * @param base64 the answer's bytes in base 64
     */
    record Inline(String base64) implements StoredAnswer {

        public Inline {
            Objects.requireNonNull(base64, "base64");
        }
    }

    /**
     * An answer in the object store.
     *
     * @param key the object's name
     */
    record InObject(String key) implements StoredAnswer {

        public InObject {
            Objects.requireNonNull(key, "key");
        }
    }
}
