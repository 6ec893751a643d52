package org.geraniumreach.serving.residency;

import java.util.Objects;

import org.geraniumreach.model.AdapterReference;

/**
 * A resident adapter as input to an {@link EvictionPolicy}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param adapter the adapter
 * @param uses the number of uses, decayed by age
 * @param idleNanos the time since its last use
 * @param loadNanos the expected time to load it again
 */
public record EvictionCandidate(AdapterReference adapter, double uses, long idleNanos, long loadNanos) {

    public EvictionCandidate {
        Objects.requireNonNull(adapter, "adapter");
    }
}
