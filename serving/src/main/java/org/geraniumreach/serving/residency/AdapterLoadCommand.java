package org.geraniumreach.serving.residency;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * A command that the companion must execute: unload one adapter, if given, and load another.
 *
 * <p>Invariant: the companion reports each command once, by {@link Residency#onLoaded} or {@link Residency#onLoadFailed}, which
 * ignore commands issued before the engine's restart. Immutable and safe for use by several threads.
 *
 * @param number the command's number, unique within the process
 * @param adapter the adapter to load
 * @param evicted the adapter to unload first, empty if a slot is free
 */
public record AdapterLoadCommand(long number, AdapterReference adapter, Optional<AdapterReference> evicted) {

    public AdapterLoadCommand {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(evicted, "evicted");
    }
}
