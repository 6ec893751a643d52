package org.geraniumreach.serving.residency;

import java.util.Objects;

import org.geraniumreach.model.AdapterReference;

/**
 * A resident adapter that no request is using, as the choice of what to evict sees it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param adapter the adapter
 * @param uses how often it was used, older uses counting less
 * @param idleNanos the time since it was last used
 * @param loadNanos what loading it again is expected to take
 */
public record EvictionCandidate(AdapterReference adapter, double uses, long idleNanos, long loadNanos) {

    public EvictionCandidate {
        Objects.requireNonNull(adapter, "adapter");
    }
}
