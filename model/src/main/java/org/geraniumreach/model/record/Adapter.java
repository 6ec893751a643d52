package org.geraniumreach.model.record;

import java.util.Set;

/**
 * An adapter and its versions that requests may name.
 *
 * <p>Invariant: there is at least one version. Immutable and safe for use by several threads.
 *
 * @param name the name of the adapter
 * @param baseModel the model that it adapts
 * @param versions the versions that requests may name
 */
public record Adapter(String name, String baseModel, Set<String> versions) {

    public Adapter {
        versions = Set.copyOf(versions);
    }
}
