package org.geraniumreach.coordination.ledger;

import java.util.Objects;

/**
 * The location of the answer of a finished request.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface StoredAnswer {

    /**
     * An answer stored in the row.
     *
     * @param base64 the answer's bytes in base 64
     */
    record Inline(String base64) implements StoredAnswer {

        public Inline {
            Objects.requireNonNull(base64, "base64");
        }
    }

    /**
     * An answer stored in the object store.
     *
     * @param key the object's key
     */
    record InObject(String key) implements StoredAnswer {

        public InObject {
            Objects.requireNonNull(key, "key");
        }
    }
}
