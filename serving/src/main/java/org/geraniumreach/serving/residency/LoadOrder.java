package org.geraniumreach.serving.residency;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * An order that the companion must carry out: unload one adapter, if named, and load another.
 *
 * <p>Invariant: of each order, {@link Residency#loaded} or {@link Residency#failed} is told once; an order from before the
 * engine's restart is then passed over. Immutable and safe for use by several threads.
 *
 * @param number the order's number, unique within the process
 * @param adapter the adapter to load
 * @param evicted the adapter to unload before
 */
public record LoadOrder(long number, AdapterReference adapter, Optional<AdapterReference> evicted) {

    public LoadOrder {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(evicted, "evicted");
    }
}
